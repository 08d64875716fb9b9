import type { RequestContent } from '../model/request-content.js'

/** A call whose connection an endpoint has lost. */
export interface LostCall {
  /** What the endpoint was asked to process. */
  readonly content: RequestContent
  /** Time at which its connection was lost. */
  readonly lostAt: number
  /** Whether the response had begun. Prompts are processed before, so the prompt parts did not crash the endpoint then. */
  readonly hasBegun: boolean
}
