import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { PromptPart } from '../model/prompt-part.js'

/** Options of a {@link CrashDetector}. */
export interface CrashDetectorOptions {
  /**
   * Returns whether nothing listens at an address; never rejects.
   * @param address address, host:port
   */
  readonly refusesConnections: (address: string) => Promise<boolean>
  /**
   * Called after a crash.
   * @param endpoint the endpoint
   * @param prompts prompts of the calls that it had not begun to answer
   */
  readonly onCrash: (endpoint: EndpointEntry, prompts: readonly (readonly PromptPart[])[]) => void
}
