import type { AnswerHead } from '../model/answer-head.js'

/** Takes an endpoint's answer as it arrives. */
export interface AnswerReceiver {
  /**
   * The head of an answer that belongs to the request.
   * @param head of the answer
   * @returns false if it can't be what is wanted, such as the rest of a stream; the call then counts as broken
   */
  start (head: AnswerHead): boolean
  /**
   * Bytes of the body.
   * @param chunk as it arrived
   * @returns false if no more should come until `resume` is called
   */
  data (chunk: Buffer): boolean
}
