import type { AnswerHead } from '../model/answer-head.js'

/** Takes an endpoint's answer as it arrives. */
export interface AnswerReceiver {
  /**
   * The head of an answer that belongs to the request.
   * @param head of the answer
   * @returns whether the answer is to be passed on; false drops its body
   */
  start (head: AnswerHead): boolean
  /**
   * Bytes of the body.
   * @param chunk as it arrived
   * @returns false if no more should come until `resume` is called
   */
  data (chunk: Buffer): boolean
}
