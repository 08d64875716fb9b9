import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { DispatchResponse } from '../forward/dispatch-response.js'
import type { DispatchCall } from '../forward/dispatch-call.js'
import type { EndpointDispatch } from '../forward/endpoint-dispatch.js'

/** Tracks the calls in flight at each endpoint, so that a retirement can wait for them or abort them. */
export class TrackedDispatch implements EndpointDispatch {
  private readonly _dispatch: EndpointDispatch
  private readonly _running = new Map<string, Set<AbortController>>()

  /**
   * @param dispatch executes the calls
   */
  constructor (dispatch: EndpointDispatch) {
    this._dispatch = dispatch
  }

  /**
   * Dispatches a call and tracks it until its response body ends.
   * @param call call with the pool and endpoint under which it is tracked
   * @param signal aborts the call
   * @throws {MimosarockError} see EndpointDispatch
   */
  async dispatch (call: DispatchCall, signal: AbortSignal): Promise<DispatchResponse> {
    const controller = new AbortController()
    const untrack = this._track(call, controller)
    try {
      const response = await this._dispatch.dispatch(call, AbortSignal.any([signal, controller.signal]))
      return { ...response, body: this._trackBody(response.body, controller.signal, untrack) }
    } catch (error) {
      untrack()
      throw error
    }
  }

  /**
   * Cancels the call's stream at its engine.
   * @param call the call that opened the stream
   */
  async cancel (call: DispatchCall): Promise<void> {
    await this._dispatch.cancel(call)
  }

  /**
   * Returns the number of calls in flight or queued at an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  inFlight (pool: string, endpoint: string): number {
    return this._running.get(`${pool}/${endpoint}`)?.size ?? 0
  }

  /**
   * Aborts the calls at an endpoint; their entry routers resume the calls that are resumable.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  abortInFlight (pool: string, endpoint: string): void {
    const reason = new MimosarockError(ResultCode.ENDPOINT_LEAVING, `endpoint ${endpoint} is released`, { run: RunState.UNKNOWN })
    for (const controller of this._running.get(`${pool}/${endpoint}`) ?? []) controller.abort(reason)
  }

  private _track (call: DispatchCall, controller: AbortController): () => void {
    const key = `${call.pool}/${call.endpoint}`
    const running = this._running.get(key) ?? new Set<AbortController>()
    this._running.set(key, running)
    running.add(controller)
    return () => {
      running.delete(controller)
      if (running.size === 0 && this._running.get(key) === running) this._running.delete(key)
    }
  }

  private async * _trackBody (body: AsyncIterable<Uint8Array>, signal: AbortSignal, untrack: () => void): AsyncGenerator<Uint8Array> {
    try {
      for await (const chunk of body) {
        signal.throwIfAborted()
        yield chunk
      }
    } finally {
      untrack()
    }
  }
}
