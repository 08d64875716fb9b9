import type { PromptPart } from './prompt-part.js'

/** Request metadata from a caller's headers. */
export interface CallerRequest {
  /** Id of this attempt of the caller. */
  readonly id: string
  /** Time until the caller gives up, in milliseconds from the request head; undefined if the caller sets no deadline. */
  readonly deadlineMs: number | undefined
  /** API key that identifies the workspace; undefined if none was sent. */
  readonly apiKey: string | undefined
  /** Parts of the prompt in order; empty for requests without a prompt. */
  readonly prompt: readonly PromptPart[]
  /** Number of prompt tokens; 0 if the caller does not send it. */
  readonly promptTokens: number
}
