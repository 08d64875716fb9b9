import type { ResultCode } from '@mimosarock/schema/result-code.js'
import type { ChosenEndpoint } from '../choice/chosen-endpoint.js'
import type { AuthorizedRequest } from './authorized-request.js'

/** Outcome of a finished request, for the log and the metrics. */
export interface RequestRecord {
  /** Id of the caller's attempt; undefined if the request carries none. */
  readonly requestId: string | undefined
  /** Identifies the content of the request; undefined if it was not read. */
  readonly fingerprint: string | undefined
  /** The request with its route and service; undefined if the request was not allowed. */
  readonly authorized: AuthorizedRequest | undefined
  /** Last endpoint chosen and why; undefined if none was chosen. */
  readonly chosen: ChosenEndpoint | undefined
  /** Time spent queued for admission, in milliseconds. */
  readonly waitedMs: number
  /** Time spent waiting for slot grants, in milliseconds; undefined if none was asked for. */
  readonly grantMs: number | undefined
  /** Name of the slot owner that granted the last endpoint; undefined if none did. */
  readonly slotOwner: string | undefined
  /** Number of calls to endpoints. */
  readonly attempts: number
  /** HTTP status; 0 if no response was started. */
  readonly status: number
  /** Result code. */
  readonly code: ResultCode
  /** Time from the request head to the first byte of the response, in milliseconds; undefined if there was none. */
  readonly firstByteMs: number | undefined
  /** Time from the request head to the end of the response, in milliseconds. */
  readonly elapsedMs: number
  /** Last error, for the log; undefined if there was none. */
  readonly problem: string | undefined
}
