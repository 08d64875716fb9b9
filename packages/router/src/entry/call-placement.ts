import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { StreamedBody } from '../http/streamed-body.js'
import type { CallPlan } from './call-plan.js'
import type { EntryPlacementOptions } from './entry-placement-options.js'
import type { PlacedCall } from './placed-call.js'

/** Refusals whose `field` names the endpoint that holds the chat's context. */
const HOLDER_REFUSALS = new Set<number>([ResultCode.CONTEXT_ELSEWHERE, ResultCode.ENDPOINT_OVER_BOUND])
/** Refusals due to overload; the first endpoint that sent one is tried again with a wait in its queue. */
const OVERLOAD_REFUSALS = new Set<number>([ResultCode.ENDPOINT_OVER_BOUND, ResultCode.QUEUE_FULL])
/** Maximum number of redirects to a context holder per call; the directory that issues them may be stale. */
const MAXIMUM_REDIRECTS = 1
const DEFAULT_RETRY_AFTER_MS = 1_000

/**
 * Places one call: tries the candidate endpoints in the rendezvous order of the call's key until one accepts it. Every
 * router uses the same order, so a displaced chat is placed at the same endpoint again. If all endpoints refuse, the
 * first one that refused because of its load is tried once more with a wait in its queue.
 */
export class CallPlacement {
  private readonly _options: EntryPlacementOptions
  private readonly _plan: CallPlan
  private readonly _signal: AbortSignal
  private readonly _candidates: string[]
  private readonly _attempted = new Set<string>()
  private _contextHolder: string | undefined
  private _redirects = 0
  private _attempts = 0
  private _delayedRetries = 0
  /** Whether any attempt may have been executed; a later refusal must then not report the call as not run. */
  private _mayHaveRun = false
  private _firstOverloaded: string | undefined
  private _lastRefusal: MimosarockError | undefined

  /**
   * @param options dispatch, retry policy and other dependencies
   * @param plan the call, its candidate endpoints and its deadline
   * @param signal aborts the call
   */
  constructor (options: EntryPlacementOptions, plan: CallPlan, signal: AbortSignal) {
    this._options = options
    this._plan = plan
    this._signal = signal
    this._candidates = plan.order.map((endpoint) => endpoint.name)
    this._contextHolder = plan.call.contextHolder
  }

  /**
   * Tries the candidates and resolves when an endpoint has sent the head of its response.
   * @throws {MimosarockError} NO_ENDPOINT without candidates, OVERLOADED if all candidates refuse and none queues the
   * call, otherwise the last refusal; the run state covers all attempts
   */
  async run (): Promise<PlacedCall> {
    if (this._candidates.length === 0) throw new MimosarockError(ResultCode.NO_ENDPOINT, `pool ${this._plan.pool.name} has no endpoint in service`)
    for (let endpoint = this._nextCandidate(); endpoint !== undefined; endpoint = this._nextCandidate()) {
      try {
        return await this._try(endpoint, 0)
      } catch (error) {
        await this._handleRefusal(endpoint, toRefusal(error))
      }
    }
    if (this._firstOverloaded === undefined || this._plan.pool.queueWaitMs === 0) throw this._exhaustedError()
    try {
      return await this._try(this._firstOverloaded, this._plan.pool.queueWaitMs)
    } catch (error) {
      throw this._withRunState(toRefusal(error))
    }
  }

  private _nextCandidate (): string | undefined {
    let endpoint = this._candidates.shift()
    while (endpoint !== undefined && this._attempted.has(endpoint)) endpoint = this._candidates.shift()
    if (endpoint !== undefined) this._attempted.add(endpoint)
    return endpoint
  }

  private async _try (endpoint: string, waitMs: number): Promise<PlacedCall> {
    const { call: planned, pool, order } = this._plan
    const remainingMs = this._remainingMs()
    if (remainingMs <= 0) throw new MimosarockError(ResultCode.DEADLINE_EXCEEDED, 'the deadline passed before an endpoint accepted the call')
    const call = { ...planned, endpoint, attempt: this._attempts, remainingMs, waitMs, contextHolder: this._contextHolder }
    this._attempts += 1
    const response = await this._options.dispatch.dispatch(call, this._signal)
    this._options.retryPolicy.recordSuccess()
    const primary = order[0]?.name ?? endpoint
    // If the primary endpoint's owner redirected the chat to this endpoint, it already has the directory entry.
    if (call.affinityKey !== '' && response.endpoint !== primary && response.endpoint !== this._contextHolder) {
      this._options.displacement.recordDisplacement(pool.name, call.affinityKey, primary, response.endpoint)
    }
    return { call, response }
  }

  /** Records a refusal and waits for the backoff; throws if the call must not be attempted at another endpoint. */
  private async _handleRefusal (endpoint: string, refusal: MimosarockError): Promise<void> {
    this._lastRefusal = refusal
    this._mayHaveRun ||= refusal.run !== RunState.NOT_RUN
    if (this._signal.aborted) throw this._withRunState(refusal)
    if (OVERLOAD_REFUSALS.has(refusal.code)) this._firstOverloaded ??= endpoint
    // The refusing owner names the endpoint that holds the context, which may be the refusing endpoint itself.
    if (HOLDER_REFUSALS.has(refusal.code)) this._contextHolder = refusal.field ?? this._contextHolder
    if (refusal.code === ResultCode.CONTEXT_ELSEWHERE && refusal.field !== undefined) this._redirect(endpoint, refusal.field)
    const body = this._plan.call.body
    const decision = this._options.retryPolicy.decide({
      error: refusal,
      attempts: this._delayedRetries + 1,
      repeatable: this._plan.repeatable,
      bodyAvailable: !(body instanceof StreamedBody && body.started),
      responseStarted: false,
      remainingMs: this._remainingMs()
    })
    if (!decision.retry) throw this._withRunState(decision.error)
    if (decision.delayMs === 0) return
    this._delayedRetries += 1
    await this._options.clock.sleep(decision.delayMs, this._signal)
  }

  private _redirect (endpoint: string, holder: string): void {
    this._attempted.delete(endpoint)
    if (this._redirects < MAXIMUM_REDIRECTS) this._candidates.unshift(holder, endpoint)
    this._redirects += 1
  }

  private _remainingMs (): number {
    return this._plan.deadlineAt - this._options.clock.now()
  }

  private _exhaustedError (): MimosarockError {
    const reason = this._lastRefusal?.message ?? 'no endpoint is in service'
    return new MimosarockError(ResultCode.OVERLOADED, `no endpoint of pool ${this._plan.pool.name} accepted the call: ${reason}`, {
      run: this._mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN,
      retryAfterMs: this._lastRefusal?.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
      cause: this._lastRefusal
    })
  }

  /** Returns the refusal with the run state over all attempts. */
  private _withRunState (refusal: MimosarockError): MimosarockError {
    if (!this._mayHaveRun || refusal.run !== RunState.NOT_RUN) return refusal
    const { retryAfterMs, field } = refusal
    return new MimosarockError(refusal.code, refusal.message, { run: RunState.UNKNOWN, retryAfterMs, field, cause: refusal })
  }
}

function toRefusal (error: unknown): MimosarockError {
  if (error instanceof MimosarockError) return error
  return new MimosarockError(ResultCode.ENDPOINT_FAILED, String(error), { run: RunState.UNKNOWN, cause: error })
}
