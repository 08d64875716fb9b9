import type { ResultCode } from '@mimosarock/schema/result-code.js'
import type { ChosenEndpoint } from '../choice/chosen-endpoint.js'
import type { AdmittedRequest } from './admitted-request.js'

/** What is told of a request that has ended. */
export interface RequestRecord {
  /** Identity of the caller's attempt; undefined if it has none. */
  readonly requestId: string | undefined
  /** What the configuration says of it; undefined if it is not allowed. */
  readonly admitted: AdmittedRequest | undefined
  /** The last endpoint and why it was chosen; undefined if it got to none. */
  readonly chosen: ChosenEndpoint | undefined
  /** How long it waited for a place at its service, in milliseconds. */
  readonly waitedMs: number
  /** Endpoints that it was given to. */
  readonly tries: number
  /** HTTP status; 0 if no answer began. */
  readonly status: number
  /** How it ended. */
  readonly code: ResultCode
  /** From its head to the first byte of its answer, in milliseconds; undefined if none came. */
  readonly firstByteMs: number | undefined
  /** From its head to its end, in milliseconds. */
  readonly elapsedMs: number
  /** What went wrong last; undefined if nothing did. */
  readonly problem: string | undefined
}
