import type { ResponseHead } from '../model/response-head.js'

/** Consumes an endpoint's response as it arrives. */
export interface ResponseReceiver {
  /**
   * Called with the validated head of the response.
   * @param head head of the response
   * @returns false if the response is unusable, for example if it does not resume a broken stream; the call then ends as broken
   */
  start (head: ResponseHead): boolean
  /**
   * Called with each part of the body.
   * @param chunk bytes of the body, as received
   * @returns false to apply back pressure: no more data is delivered until the call's `resume` is called
   */
  data (chunk: Buffer): boolean
  /**
   * Returns why the response that has arrived so far can't be complete or valid; undefined if it can be.
   * @param isEnded whether nothing more will arrive
   */
  findProblem (isEnded: boolean): string | undefined
}
