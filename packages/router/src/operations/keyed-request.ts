import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { Route } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Request of a caller to a route whose calls may run at most once. */
export interface KeyedRequest {
  readonly workspace: string
  readonly route: Route
  /** Value of the `Idempotency-Key` header. */
  readonly key: string | undefined
  /** Value of the `Idempotency-Key-Time` header. */
  readonly keyTime: string | undefined
  readonly method: string
  /** Path and query sent to the endpoint. */
  readonly path: string
  readonly body: Uint8Array
  /** Deadline for the response, on the router's monotonic clock, in milliseconds. */
  readonly deadlineAt: number
  /**
   * Returns the error that rejects the call if it can't be dispatched now, undefined if it can. Called before an intent
   * is written.
   */
  readonly reasonNotToBegin?: () => MimosarockError | undefined
}
