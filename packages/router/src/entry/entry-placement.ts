import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { StreamedBody } from '../caller/streamed-body.js'
import type { CallPlan } from './call-plan.js'
import type { EntryPlacementOptions } from './entry-placement-options.js'
import type { PlacedCall } from './placed-call.js'

/** Refusals by which an owner sends the call on to the next endpoint; they cost no retry. */
const NEXT_ENDPOINT = new Set<number>([
  ResultCode.ENDPOINT_OVER_BOUND, ResultCode.QUEUE_FULL, ResultCode.ENDPOINT_LEAVING, ResultCode.CIRCUIT_OPEN,
  ResultCode.NOT_OWNER, ResultCode.ROUTER_STOPPING, ResultCode.OVERLOADED, ResultCode.NO_ENDPOINT
])
/** Refusals whose field names the endpoint that holds the chat's context. */
const NAMES_HOLDER = new Set<number>([ResultCode.CONTEXT_ELSEWHERE, ResultCode.ENDPOINT_OVER_BOUND])
/** Redirects to the endpoint that holds a chat's context; the directory may be stale, so one is followed. */
const MAXIMUM_REDIRECTS = 1

/**
 * Walks a call's endpoints in the order of its key until one takes it. Every router walks the same order, so a
 * displaced chat is displaced to the same endpoint again. When all refuse, the first one that
 * did so for its load is asked once more with a wait in its queue.
 */
export class EntryPlacement {
  private readonly _options: EntryPlacementOptions

  /**
   * @param options what it works with
   */
  constructor (options: EntryPlacementOptions) {
    this._options = options
  }

  /**
   * Places the call and resolves when the head of an answer is there.
   * @param plan the call, its endpoints and its deadline
   * @param signal ends the call
   * @throws {MimosarockError} the last refusal, with the run state of the whole call
   */
  async place (plan: CallPlan, signal: AbortSignal): Promise<PlacedCall> {
    const waiting = plan.order.map((endpoint) => endpoint.name)
    if (waiting.length === 0) throw new MimosarockError(ResultCode.NO_ENDPOINT, `pool ${plan.pool.name} has no endpoint in service`)
    const asked = new Set<string>()
    let redirects = 0
    let contextHolder = plan.call.contextHolder
    let attempt = 0
    let mayHaveRun = false
    let firstLoaded: string | undefined
    let refusal: MimosarockError | undefined
    while (waiting.length > 0) {
      const endpoint = waiting.shift()
      if (endpoint === undefined || asked.has(endpoint)) continue
      asked.add(endpoint)
      try {
        return await this._tryEndpoint(plan, endpoint, attempt, 0, contextHolder, signal)
      } catch (error) {
        refusal = asRefusal(error)
        attempt += 1
        // An owner that refuses names the endpoint that holds the context, its own one included.
        if (NAMES_HOLDER.has(refusal.code)) contextHolder = refusal.field ?? contextHolder
        mayHaveRun ||= refusal.run !== RunState.NOT_RUN
        if (plan.call.body instanceof StreamedBody && plan.call.body.started) throw refusal
        if (refusal.code === ResultCode.CONTEXT_ELSEWHERE && refusal.field !== undefined) {
          asked.delete(endpoint)
          if (redirects < MAXIMUM_REDIRECTS) waiting.unshift(refusal.field, endpoint)
          redirects += 1
          continue
        }
        if (refusal.code === ResultCode.ENDPOINT_OVER_BOUND || refusal.code === ResultCode.QUEUE_FULL) firstLoaded ??= endpoint
        if (!NEXT_ENDPOINT.has(refusal.code)) this._checkRetry(plan, refusal, signal)
      }
    }
    if (firstLoaded !== undefined && plan.pool.queueWaitMs > 0) {
      return await this._tryEndpoint(plan, firstLoaded, attempt, plan.pool.queueWaitMs, contextHolder, signal)
    }
    throw summarize(plan, refusal, mayHaveRun)
  }

  private async _tryEndpoint (
    plan: CallPlan, endpoint: string, attempt: number, waitMs: number, contextHolder: string | undefined, signal: AbortSignal
  ): Promise<PlacedCall> {
    const remainingMs = plan.deadlineAt - this._options.clock.now()
    if (remainingMs <= 0) throw new MimosarockError(ResultCode.DEADLINE_EXCEEDED, 'the deadline passed before an endpoint took the call')
    const call = { ...plan.call, endpoint, attempt, remainingMs, waitMs, contextHolder }
    const answer = await this._options.dispatch.dispatch(call, signal)
    this._options.retryBudget.noteSuccess()
    const first = plan.order[0]?.name ?? endpoint
    // Where the first endpoint's owner sent the chat itself, it knows already.
    if (call.affinityKey !== '' && answer.endpoint !== first && answer.endpoint !== contextHolder) {
      this._options.displacement.displaced(plan.pool.name, call.affinityKey, first, answer.endpoint)
    }
    return { call, answer }
  }

  /** Throws the refusal if the call may not go to another endpoint after it. */
  private _checkRetry (plan: CallPlan, refusal: MimosarockError, signal: AbortSignal): void {
    if (signal.aborted) throw refusal
    if (refusal.run !== RunState.NOT_RUN && !plan.repeatable) throw refusal
    if (refusal.code === ResultCode.DEADLINE_EXCEEDED || refusal.code === ResultCode.DEADLINE_CANNOT_BE_MET) throw refusal
    if (!this._options.retryBudget.tryTake()) {
      throw new MimosarockError(ResultCode.RETRY_BUDGET_SPENT, `not tried again: ${refusal.message}`, { run: refusal.run, cause: refusal })
    }
  }
}

function asRefusal (error: unknown): MimosarockError {
  if (error instanceof MimosarockError) return error
  return new MimosarockError(ResultCode.ENDPOINT_FAILED, String(error), { run: RunState.UNKNOWN, cause: error })
}

function summarize (plan: CallPlan, refusal: MimosarockError | undefined, mayHaveRun: boolean): MimosarockError {
  const run = mayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN
  const retryAfterMs = refusal?.retryAfterMs ?? 1_000
  return new MimosarockError(ResultCode.OVERLOADED, `no endpoint of pool ${plan.pool.name} took the call: ${refusal?.message ?? ''}`, { run, retryAfterMs, cause: refusal })
}
