import type { ResultCode } from '@mimosarock/schema/result-code.js'

/** Refusal of a request for a slot. */
export interface SlotRefusal {
  /** `OVERLOADED` if the request would wait too long, `NOT_OWNER` or `NO_ENDPOINT` if the router cannot decide about it. */
  readonly code: ResultCode
  /** Reason for the refusal. */
  readonly message: string
  /** Time after which the caller should retry, in milliseconds; undefined if it is not known. */
  readonly retryAfterMs?: number | undefined
}
