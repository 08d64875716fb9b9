import type { ResponseHead } from './response-head.js'
import type { CallerRequest } from './caller-request.js'
import type { DispatchHeaders } from './dispatch-headers.js'

/** Translates between HTTP headers and the router's types; each platform has its own header names. */
export interface WireCodec {
  /** Path of the load balancer's readiness probes. */
  readonly readinessPath: string
  /**
   * Reads request metadata from a caller's headers.
   * @param rawHeaders alternating names and values
   * @returns undefined if the request has no request id
   */
  readCallerRequest (rawHeaders: readonly string[]): CallerRequest | undefined
  /**
   * Builds the headers for an endpoint: the caller's end-to-end headers and those that the router adds.
   * @param rawHeaders the caller's headers as alternating names and values
   * @param dispatch values that the router adds
   * @returns alternating names and values
   */
  writeDispatchHeaders (rawHeaders: readonly string[], dispatch: DispatchHeaders): string[]
  /**
   * Reads the head of an endpoint's response.
   * @param status HTTP status
   * @param rawHeaders alternating names and values
   */
  readResponseHead (status: number, rawHeaders: readonly string[]): ResponseHead
}
