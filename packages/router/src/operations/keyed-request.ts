import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { Route } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** A caller's call on a route whose calls may not be repeated. */
export interface KeyedRequest {
  readonly workspace: string
  readonly route: Route
  /** Value of the `Idempotency-Key` header. */
  readonly key: string | undefined
  /** Value of the `Idempotency-Key-Time` header. */
  readonly keyTime: string | undefined
  readonly method: string
  /** Path and query at the endpoint. */
  readonly path: string
  readonly body: Uint8Array
  /** When the caller must have its answer, on the router's monotonic clock in milliseconds. */
  readonly deadlineAt: number
  /** Why the call could not be dispatched now; asked before an intent is written for it. */
  readonly reasonNotToBegin?: () => MimosarockError | undefined
}
