import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { FailedTry } from './failed-try.js'
import type { RetryDecision } from './retry-decision.js'
import type { RetryPolicyOptions } from './retry-policy-options.js'

/** Refusals that name or imply a better endpoint: going there is part of placing the call, not a retry. */
const REDIRECTIONS: ReadonlySet<ResultCode> = new Set([
  ResultCode.CONTEXT_ELSEWHERE,
  ResultCode.ENDPOINT_OVER_BOUND,
  ResultCode.ENDPOINT_LEAVING,
  ResultCode.NOT_OWNER,
  ResultCode.NO_ENDPOINT,
  ResultCode.QUEUE_FULL,
  ResultCode.CIRCUIT_OPEN,
  ResultCode.ROUTER_STOPPING
])

/** Failures of an endpoint or of the way to it. All others are the caller's or hold for the whole pool. */
const RETRIABLE: ReadonlySet<ResultCode> = new Set([
  ResultCode.ENDPOINT_FAILED,
  ResultCode.ENDPOINT_SILENT,
  ResultCode.OVERLOADED,
  ResultCode.OWNER_UNREACHABLE,
  ResultCode.ROUTER_NOT_READY,
  ResultCode.PEER_UNREACHABLE,
  ResultCode.PEER_TIMEOUT
])

/** Endpoint failures after which the same endpoint is tried again only if the pool has no other. */
const AVOIDED: ReadonlySet<ResultCode> = new Set([
  ResultCode.ENDPOINT_FAILED,
  ResultCode.ENDPOINT_SILENT,
  ResultCode.CIRCUIT_OPEN,
  ResultCode.QUEUE_FULL,
  ResultCode.ENDPOINT_LEAVING,
  ResultCode.ENDPOINT_OVER_BOUND
])

/**
 * Decides for every path whether a failed call is tried again.
 *
 * A call that may have reached an endpoint is tried again only if its route declares it repeatable. Whoever
 * makes the next try opens a new connection; the failed one is thrown away.
 */
export class RetryPolicy {
  private readonly _options: RetryPolicyOptions

  /**
   * @param options what the policy works with
   */
  constructor (options: RetryPolicyOptions) {
    this._options = options
  }

  /**
   * The run state of a call whose connection failed.
   * @param bytesWritten bytes of the call that were handed to a socket; the system may have sent any of them
   */
  static runStateAfter (bytesWritten: number): RunState {
    return bytesWritten > 0 ? RunState.UNKNOWN : RunState.NOT_RUN
  }

  /** Counts a call that succeeded; successes pay for retries. */
  noteSuccess (): void {
    this._options.budget.recordSuccess()
  }

  /**
   * Decides what is to follow a failed try.
   * @param failed the try
   */
  decide (failed: FailedTry): RetryDecision {
    const avoidEndpoint = AVOIDED.has(failed.error.code)
    const refusal = this._refusal(failed)
    if (refusal !== undefined) return { retry: false, delayMs: 0, avoidEndpoint, error: refusal }
    const redirected = REDIRECTIONS.has(failed.error.code)
    return { retry: true, delayMs: redirected ? 0 : this._delayMs(failed.tries), avoidEndpoint, error: failed.error }
  }

  private _refusal (failed: FailedTry): MimosarockError | undefined {
    const { error } = failed
    if (failed.answerStarted || !failed.bodyAvailable) return error
    if (error.run === RunState.RAN) return error
    if (error.run === RunState.UNKNOWN && !failed.repeatable) return error
    if (REDIRECTIONS.has(error.code)) return undefined
    if (!RETRIABLE.has(error.code)) return error
    if (failed.tries >= this._options.maximumTries) return error
    if (failed.remainingMs < this._options.minimumRemainingMs + this._options.baseDelayMs * 2 ** (failed.tries - 1)) return error
    if (this._options.budget.tryTake()) return undefined
    return new MimosarockError(ResultCode.RETRY_BUDGET_SPENT, `not tried again: ${error.message}`, {
      run: error.run, retryAfterMs: error.retryAfterMs, cause: error
    })
  }

  /** Half of the pause is random, so that calls that failed together do not come back together. */
  private _delayMs (tries: number): number {
    const full = this._options.baseDelayMs * 2 ** (tries - 1)
    return full / 2 + full / 2 * this._options.random()
  }
}
