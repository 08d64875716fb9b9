import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { StreamedBody } from '../http/streamed-body.js'
import type { CallPlan } from './call-plan.js'
import type { EntryPlacementOptions } from './entry-placement-options.js'
import type { PlacedCall } from './placed-call.js'

/** Refusals whose field names the endpoint that holds the chat's context. */
const NAMES_HOLDER = new Set<number>([ResultCode.CONTEXT_ELSEWHERE, ResultCode.ENDPOINT_OVER_BOUND])
/** Refusals for load; one of their endpoints is asked again with a wait in its queue. */
const LOADED = new Set<number>([ResultCode.ENDPOINT_OVER_BOUND, ResultCode.QUEUE_FULL])
/** Redirects to the endpoint that holds a chat's context; the directory may be stale, so one is followed. */
const MAXIMUM_REDIRECTS = 1
const DEFAULT_RETRY_AFTER_MS = 1_000

/**
 * The way of one call along its endpoints, in the order of its key, until one takes it. Every router walks the
 * same order, so a displaced chat is displaced to the same endpoint again. When all refuse, the first one that did
 * so for its load is asked once more with a wait in its queue.
 */
export class PlacementWalk {
  private readonly _options: EntryPlacementOptions
  private readonly _plan: CallPlan
  private readonly _signal: AbortSignal
  private readonly _waiting: string[]
  private readonly _asked = new Set<string>()
  private _contextHolder: string | undefined
  private _redirects = 0
  private _tries = 0
  private _failures = 0
  /** Whether any try so far may have run; a later refusal must then not say that the call did not run. */
  private _mayHaveRun = false
  private _firstLoaded: string | undefined
  private _refusal: MimosarockError | undefined

  /**
   * @param options what it works with
   * @param plan the call, its endpoints and its deadline
   * @param signal ends the call
   */
  constructor (options: EntryPlacementOptions, plan: CallPlan, signal: AbortSignal) {
    this._options = options
    this._plan = plan
    this._signal = signal
    this._waiting = plan.order.map((endpoint) => endpoint.name)
    this._contextHolder = plan.call.contextHolder
  }

  /**
   * Walks the endpoints and resolves when the head of an answer is there.
   * @throws {MimosarockError} the last refusal, with the run state of the whole call
   */
  async run (): Promise<PlacedCall> {
    if (this._waiting.length === 0) throw new MimosarockError(ResultCode.NO_ENDPOINT, `pool ${this._plan.pool.name} has no endpoint in service`)
    for (let endpoint = this._next(); endpoint !== undefined; endpoint = this._next()) {
      try {
        return await this._try(endpoint, 0)
      } catch (error) {
        await this._goOnAfter(endpoint, asRefusal(error))
      }
    }
    if (this._firstLoaded === undefined || this._plan.pool.queueWaitMs === 0) throw this._exhausted()
    try {
      return await this._try(this._firstLoaded, this._plan.pool.queueWaitMs)
    } catch (error) {
      throw this._final(asRefusal(error))
    }
  }

  private _next (): string | undefined {
    let endpoint = this._waiting.shift()
    while (endpoint !== undefined && this._asked.has(endpoint)) endpoint = this._waiting.shift()
    if (endpoint !== undefined) this._asked.add(endpoint)
    return endpoint
  }

  private async _try (endpoint: string, waitMs: number): Promise<PlacedCall> {
    const { call: planned, pool, order } = this._plan
    const remainingMs = this._remainingMs()
    if (remainingMs <= 0) throw new MimosarockError(ResultCode.DEADLINE_EXCEEDED, 'the deadline passed before an endpoint took the call')
    const call = { ...planned, endpoint, attempt: this._tries, remainingMs, waitMs, contextHolder: this._contextHolder }
    this._tries += 1
    const answer = await this._options.dispatch.dispatch(call, this._signal)
    this._options.retryPolicy.noteSuccess()
    const first = order[0]?.name ?? endpoint
    // Where the first endpoint's owner sent the chat itself, it knows already.
    if (call.affinityKey !== '' && answer.endpoint !== first && answer.endpoint !== this._contextHolder) {
      this._options.displacement.displaced(pool.name, call.affinityKey, first, answer.endpoint)
    }
    return { call, answer }
  }

  /** Takes a refusal into account; throws if the call may not go on to another endpoint. */
  private async _goOnAfter (endpoint: string, refusal: MimosarockError): Promise<void> {
    this._refusal = refusal
    this._mayHaveRun ||= refusal.run !== RunState.NOT_RUN
    if (this._signal.aborted) throw this._final(refusal)
    if (LOADED.has(refusal.code)) this._firstLoaded ??= endpoint
    // An owner that refuses names the endpoint that holds the context, its own one included.
    if (NAMES_HOLDER.has(refusal.code)) this._contextHolder = refusal.field ?? this._contextHolder
    if (refusal.code === ResultCode.CONTEXT_ELSEWHERE && refusal.field !== undefined) this._redirect(endpoint, refusal.field)
    const body = this._plan.call.body
    const decision = this._options.retryPolicy.decide({
      error: refusal,
      tries: this._failures + 1,
      repeatable: this._plan.repeatable,
      bodyAvailable: !(body instanceof StreamedBody && body.started),
      answerStarted: false,
      remainingMs: this._remainingMs()
    })
    if (!decision.retry) throw this._final(decision.error)
    if (decision.delayMs === 0) return
    this._failures += 1
    await this._options.clock.sleep(decision.delayMs, this._signal)
  }

  private _redirect (endpoint: string, holder: string): void {
    this._asked.delete(endpoint)
    if (this._redirects < MAXIMUM_REDIRECTS) this._waiting.unshift(holder, endpoint)
    this._redirects += 1
  }

  private _remainingMs (): number {
    return this._plan.deadlineAt - this._options.clock.now()
  }

  private _exhausted (): MimosarockError {
    const reason = this._refusal?.message ?? 'none is in service'
    return new MimosarockError(ResultCode.OVERLOADED, `no endpoint of pool ${this._plan.pool.name} took the call: ${reason}`, {
      run: this._mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN,
      retryAfterMs: this._refusal?.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
      cause: this._refusal
    })
  }

  /** A refusal with the run state of all tries together. */
  private _final (refusal: MimosarockError): MimosarockError {
    if (!this._mayHaveRun || refusal.run !== RunState.NOT_RUN) return refusal
    const { retryAfterMs, field } = refusal
    return new MimosarockError(refusal.code, refusal.message, { run: RunState.UNKNOWN, retryAfterMs, field, cause: refusal })
  }
}

function asRefusal (error: unknown): MimosarockError {
  if (error instanceof MimosarockError) return error
  return new MimosarockError(ResultCode.ENDPOINT_FAILED, String(error), { run: RunState.UNKNOWN, cause: error })
}
