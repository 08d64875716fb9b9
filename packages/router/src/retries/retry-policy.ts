import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { FailedAttempt } from './failed-attempt.js'
import type { RetryDecision } from './retry-decision.js'
import type { RetryPolicyOptions } from './retry-policy-options.js'

/** Refusals that name or imply a better endpoint; trying that one is part of placing the call, not a retry. */
const REDIRECT_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCode.CONTEXT_ELSEWHERE,
  ResultCode.ENDPOINT_OVER_BOUND,
  ResultCode.ENDPOINT_LEAVING,
  ResultCode.NOT_OWNER,
  ResultCode.NO_ENDPOINT,
  ResultCode.QUEUE_FULL,
  ResultCode.CIRCUIT_OPEN,
  ResultCode.ROUTER_STOPPING
])

/** Failures of an endpoint or of the connection to it. All others are caused by the caller or affect the whole pool. */
const RETRYABLE_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCode.ENDPOINT_FAILED,
  ResultCode.ENDPOINT_SILENT,
  ResultCode.OVERLOADED,
  ResultCode.OWNER_UNREACHABLE,
  ResultCode.ROUTER_NOT_READY,
  ResultCode.PEER_UNREACHABLE,
  ResultCode.PEER_TIMEOUT
])

/** Endpoint failures after which the same endpoint is only tried again if the pool has no other. */
const AVOID_ENDPOINT_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCode.ENDPOINT_FAILED,
  ResultCode.ENDPOINT_SILENT,
  ResultCode.CIRCUIT_OPEN,
  ResultCode.QUEUE_FULL,
  ResultCode.ENDPOINT_LEAVING,
  ResultCode.ENDPOINT_OVER_BOUND
])

/**
 * Decides for all kinds of calls whether a failed attempt is retried.
 *
 * A call that may have reached an endpoint is only retried if its route declares it repeatable. The code that makes
 * the next attempt must open a new connection; the failed one is discarded.
 */
export class RetryPolicy {
  private readonly _options: RetryPolicyOptions

  /**
   * @param options budget and limits
   */
  constructor (options: RetryPolicyOptions) {
    this._options = options
  }

  /**
   * Returns the run state of a call whose connection failed.
   * @param bytesWritten bytes of the call written to a socket; any of them may have been sent
   */
  static runStateAfter (bytesWritten: number): RunState {
    return bytesWritten > 0 ? RunState.UNKNOWN : RunState.NOT_RUN
  }

  /** Records a successful call, which adds to the retry budget. */
  recordSuccess (): void {
    this._options.budget.recordSuccess()
  }

  /**
   * Decides whether to retry after a failed attempt. A retry that is not a redirect takes from the retry budget.
   * @param failed the attempt and the state of its call
   */
  decide (failed: FailedAttempt): RetryDecision {
    const avoidEndpoint = AVOID_ENDPOINT_CODES.has(failed.error.code)
    const finalError = this._finalError(failed)
    if (finalError !== undefined) return { retry: false, delayMs: 0, avoidEndpoint, error: finalError }
    const redirected = REDIRECT_CODES.has(failed.error.code)
    return { retry: true, delayMs: redirected ? 0 : this._backoffMs(failed.attempts), avoidEndpoint, error: failed.error }
  }

  private _finalError (failed: FailedAttempt): MimosarockError | undefined {
    const { error } = failed
    if (failed.responseStarted || !failed.bodyAvailable) return error
    if (error.run === RunState.RAN) return error
    if (error.run === RunState.UNKNOWN && !failed.repeatable) return error
    if (REDIRECT_CODES.has(error.code)) return undefined
    if (!RETRYABLE_CODES.has(error.code)) return error
    if (failed.attempts >= this._options.maximumAttempts) return error
    if (failed.remainingMs < this._options.minimumRemainingMs + this._options.baseDelayMs * 2 ** (failed.attempts - 1)) return error
    if (this._options.budget.tryTake()) return undefined
    return new MimosarockError(ResultCode.RETRY_BUDGET_SPENT, `the retry budget is exhausted: ${error.message}`, {
      run: error.run, retryAfterMs: error.retryAfterMs, cause: error
    })
  }

  /** Returns an exponential backoff; half of it is random, so that calls that failed together aren't retried together. */
  private _backoffMs (attempts: number): number {
    const full = this._options.baseDelayMs * 2 ** (attempts - 1)
    return full / 2 + full / 2 * this._options.random()
  }
}
