import type { PromptPart } from './prompt-part.js'

/** What a request asks an endpoint to process. */
export interface RequestContent {
  /** Parts of the prompt in order; empty for requests without a prompt. */
  readonly prompt: readonly PromptPart[]
  /** Identifies the whole request, the same each time that it is repeated. */
  readonly fingerprint: string
}
