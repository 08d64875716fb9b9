import type { StatedLoad } from './stated-load.js'

/** Status and headers of an endpoint's response, as the wire codec reads them. */
export interface ResponseHead {
  /** HTTP status. */
  readonly status: number
  /** End-to-end headers to forward, as alternating names and values. */
  readonly headers: readonly string[]
  /** Id of the request that the response belongs to; undefined if the response carries none. */
  readonly requestId: string | undefined
  /** Whether the response carries the endpoint's signature. */
  readonly isSigned: boolean
  /** Whether the response states that the request did not run. */
  readonly isNotRun: boolean
  /** Whether the endpoint states that it is leaving and wants no new requests. */
  readonly isLeaving: boolean
  /** Time for which the endpoint wants no requests from this router, in milliseconds; undefined if it states none. */
  readonly retryAfterMs: number | undefined
  /** Requests a second that the endpoint takes from all routers together; undefined if it states no limit. */
  readonly requestsPerSecond: number | undefined
  /** Load that the endpoint states; undefined if it states none, or in an invalid form. */
  readonly load?: StatedLoad | undefined
  /** Whether the endpoint states its load in an invalid form. */
  readonly isLoadInvalid?: boolean | undefined
  /** Whether the end of the body is marked, by a length or chunks; otherwise it ends with the connection. */
  readonly isDelimited: boolean
  /** Media type; undefined if the response states none. */
  readonly contentType: string | undefined
  /** Whether the body has a content encoding, which the router never requests from endpoints. */
  readonly isEncoded: boolean
}
