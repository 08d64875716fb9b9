import type { AnswerHead } from './answer-head.js'
import type { CallerRequest } from './caller-request.js'
import type { DispatchHeaders } from './dispatch-headers.js'

/** Translates between HTTP headers and the router's types. */
export interface WireCodec {
  /** Path that the load balancer asks for readiness. */
  readonly readinessPath: string
  /**
   * Reads what a caller's headers say.
   * @param rawHeaders names and values in turn
   * @returns undefined if the request has no identity
   */
  readCallerRequest (rawHeaders: readonly string[]): CallerRequest | undefined
  /**
   * Headers for an endpoint: the caller's end-to-end ones and the router's own.
   * @param rawHeaders the caller's names and values in turn
   * @param dispatch what the router adds
   * @returns names and values in turn
   */
  writeDispatchHeaders (rawHeaders: readonly string[], dispatch: DispatchHeaders): string[]
  /**
   * Reads the head of an endpoint's answer.
   * @param status HTTP status
   * @param rawHeaders names and values in turn
   */
  readAnswerHead (status: number, rawHeaders: readonly string[]): AnswerHead
}
