import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { DispatchAnswer } from '../forward/dispatch-answer.js'
import type { DispatchCall } from '../forward/dispatch-call.js'
import type { EndpointDispatch } from '../forward/endpoint-dispatch.js'

/** Knows which calls run at each endpoint, so that a retirement can wait for them and end them. */
export class TrackedDispatch implements EndpointDispatch {
  private readonly _dispatch: EndpointDispatch
  private readonly _running = new Map<string, Set<AbortController>>()

  /**
   * @param dispatch runs the calls
   */
  constructor (dispatch: EndpointDispatch) {
    this._dispatch = dispatch
  }

  /**
   * Runs a call.
   * @param call the call
   * @param signal ends the call
   * @throws {MimosarockError} see EndpointDispatch
   */
  async dispatch (call: DispatchCall, signal: AbortSignal): Promise<DispatchAnswer> {
    const ended = new AbortController()
    const forget = this._remember(call, ended)
    try {
      const answer = await this._dispatch.dispatch(call, AbortSignal.any([signal, ended.signal]))
      return { ...answer, body: this._follow(answer.body, ended.signal, forget) }
    } catch (error) {
      forget()
      throw error
    }
  }

  /**
   * Ends the call's stream at its engine.
   * @param call the call
   */
  async cancel (call: DispatchCall): Promise<void> {
    await this._dispatch.cancel(call)
  }

  /**
   * Calls that run or wait at an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  inFlight (pool: string, endpoint: string): number {
    return this._running.get(`${pool}/${endpoint}`)?.size ?? 0
  }

  /**
   * Ends the calls at an endpoint; their entry routers resume those that can be resumed.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  endInFlight (pool: string, endpoint: string): void {
    const reason = new MimosarockError(ResultCode.ENDPOINT_LEAVING, `endpoint ${endpoint} is released`, { run: RunState.UNKNOWN })
    for (const ended of this._running.get(`${pool}/${endpoint}`) ?? []) ended.abort(reason)
  }

  private _remember (call: DispatchCall, ended: AbortController): () => void {
    const key = `${call.pool}/${call.endpoint}`
    const running = this._running.get(key) ?? new Set<AbortController>()
    this._running.set(key, running)
    running.add(ended)
    return () => {
      running.delete(ended)
      if (running.size === 0 && this._running.get(key) === running) this._running.delete(key)
    }
  }

  private async * _follow (body: AsyncIterable<Uint8Array>, ended: AbortSignal, forget: () => void): AsyncGenerator<Uint8Array> {
    try {
      for await (const chunk of body) {
        ended.throwIfAborted()
        yield chunk
      }
    } finally {
      forget()
    }
  }
}
