import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { DispatchResponse } from './dispatch-response.js'
import type { DispatchCall } from './dispatch-call.js'
import type { EndpointDispatch } from './endpoint-dispatch.js'
import { ForwardClient } from './forward-client.js'
import type { OwnerDispatchOptions } from './owner-dispatch-options.js'

/**
 * Dispatches each call to the router that owns its endpoint, forwarding it at most once. While the owner is unreachable
 * and membership has not assigned a new one, this router sends the calls to the endpoint itself; the number of such
 * concurrent calls is limited.
 */
export class OwnerDispatch implements EndpointDispatch {
  private readonly _options: OwnerDispatchOptions
  private readonly _clients = new Map<string, ForwardClient>()
  private _unownedCalls = 0

  /**
   * @param options dependencies and limits
   */
  constructor (options: OwnerDispatchOptions) {
    this._options = options
  }

  /**
   * Dispatches the call to the owner of its endpoint and resolves when the response head has been received.
   * @param call a streamed body is consumed
   * @param signal aborts the call
   * @throws {MimosarockError} as described for EndpointDispatch
   */
  async dispatch (call: DispatchCall, signal: AbortSignal): Promise<DispatchResponse> {
    const owner = this._remoteOwner(call)
    // A resumption adds no load to the engine and must not depend on an owner whose failure may have broken the stream.
    if (owner === undefined || call.resumeFrom !== undefined) return await this._options.local.dispatch(call, signal)
    if (this._options.suspects.isSuspect(owner.id)) return await this._dispatchUnowned(call, suspectedOwnerError(call), signal)
    try {
      return await this._clientFor(owner).dispatch(call, signal)
    } catch (error) {
      if (!(error instanceof MimosarockError) || error.code !== ResultCode.OWNER_UNREACHABLE) throw error
      this._options.suspects.suspect(owner.id)
      if (error.run !== RunState.NOT_RUN || !isRepeatableBody(call.body)) throw error
      return await this._dispatchUnowned(call, error, signal)
    }
  }

  /**
   * Ends the stream of a call through the owner of its endpoint.
   * @param call the call that opened the stream
   */
  async cancel (call: DispatchCall): Promise<void> {
    const owner = this._remoteOwner(call)
    await (owner === undefined ? this._options.local : this._clientFor(owner)).cancel(call)
  }

  /** Closes the connections to all owners. */
  async destroy (): Promise<void> {
    const clients = [...this._clients.values()]
    this._clients.clear()
    for (const client of clients) await client.destroy()
  }

  /** Returns the owner of the call's endpoint if it is another router. */
  private _remoteOwner (call: DispatchCall): RouterIdentity | undefined {
    const owner = this._options.owners.ownerOf(call.pool, call.endpoint)
    return owner?.id === this._options.self().id ? undefined : owner
  }

  private _clientFor (owner: RouterIdentity): ForwardClient {
    const known = this._clients.get(owner.forwardAddress)
    if (known !== undefined) return known
    const client = new ForwardClient({ ...this._options.forward, address: owner.forwardAddress })
    this._clients.set(owner.forwardAddress, client)
    return client
  }

  private async _dispatchUnowned (call: DispatchCall, cause: unknown, signal: AbortSignal): Promise<DispatchResponse> {
    if (this._unownedCalls >= this._options.maximumUnownedCalls) throw cause
    this._unownedCalls += 1
    try {
      const response = await this._options.local.dispatch(call, signal)
      return { ...response, body: this._trackBody(response.body) }
    } catch (error) {
      this._unownedCalls -= 1
      throw error
    }
  }

  private async * _trackBody (body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
    try {
      yield * body
    } finally {
      this._unownedCalls -= 1
    }
  }
}

function suspectedOwnerError (call: DispatchCall): MimosarockError {
  return new MimosarockError(ResultCode.OWNER_UNREACHABLE, `the owner of ${call.endpoint} recently did not respond`)
}

function isRepeatableBody (body: DispatchCall['body']): boolean {
  return body === undefined || body instanceof Uint8Array
}
