import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { DispatchAnswer } from './dispatch-answer.js'
import type { DispatchCall } from './dispatch-call.js'
import type { EndpointDispatch } from './endpoint-dispatch.js'
import { ForwardClient } from './forward-client.js'
import type { OwnerDispatchOptions } from './owner-dispatch-options.js'

/**
 * Hands each call to the router that owns its endpoint: this one, or another by one forward. If the owner can't
 * be reached, the call runs from here within a small share, since membership will name another owner soon.
 */
export class OwnerDispatch implements EndpointDispatch {
  private readonly _options: OwnerDispatchOptions
  private readonly _forwards = new Map<string, ForwardClient>()
  private _unownedCalls = 0

  /**
   * @param options what it works with
   */
  constructor (options: OwnerDispatchOptions) {
    this._options = options
  }

  /**
   * Hands the call to the owner of its endpoint.
   * @param call the call
   * @param signal ends the call
   * @throws {MimosarockError} see EndpointDispatch
   */
  async dispatch (call: DispatchCall, signal: AbortSignal): Promise<DispatchAnswer> {
    const owner = this._remoteOwner(call)
    // A resumption brings the engine no load and must not wait for an owner that may be what broke the stream.
    if (owner === undefined || call.resumeFrom !== undefined) return await this._options.local.dispatch(call, signal)
    if (this._options.suspects.isSuspect(owner.id)) return await this._dispatchUnowned(call, unreachable(call), signal)
    try {
      return await this._forwardTo(owner).dispatch(call, signal)
    } catch (error) {
      if (!(error instanceof MimosarockError) || error.code !== ResultCode.OWNER_UNREACHABLE) throw error
      this._options.suspects.suspect(owner.id)
      if (error.run !== RunState.NOT_RUN || !isRepeatableBody(call.body)) throw error
      return await this._dispatchUnowned(call, error, signal)
    }
  }

  /**
   * Asks the owner to end the call's stream.
   * @param call the call
   */
  async cancel (call: DispatchCall): Promise<void> {
    const owner = this._remoteOwner(call)
    await (owner === undefined ? this._options.local : this._forwardTo(owner)).cancel(call)
  }

  /** Closes the connections to all owners. */
  async destroy (): Promise<void> {
    const clients = [...this._forwards.values()]
    this._forwards.clear()
    for (const client of clients) await client.destroy()
  }

  /** The owner, if it is another router. */
  private _remoteOwner (call: DispatchCall): RouterIdentity | undefined {
    const owner = this._options.owners.ownerOf(call.pool, call.endpoint)
    return owner?.id === this._options.self().id ? undefined : owner
  }

  private _forwardTo (owner: RouterIdentity): ForwardClient {
    const known = this._forwards.get(owner.forwardAddress)
    if (known !== undefined) return known
    const client = new ForwardClient({ ...this._options.forward, address: owner.forwardAddress })
    this._forwards.set(owner.forwardAddress, client)
    return client
  }

  private async _dispatchUnowned (call: DispatchCall, cause: unknown, signal: AbortSignal): Promise<DispatchAnswer> {
    if (this._unownedCalls >= this._options.maximumUnownedCalls) throw cause
    this._unownedCalls += 1
    try {
      const answer = await this._options.local.dispatch(call, signal)
      return { ...answer, body: this._countBody(answer.body) }
    } catch (error) {
      this._unownedCalls -= 1
      throw error
    }
  }

  private async * _countBody (body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
    try {
      yield * body
    } finally {
      this._unownedCalls -= 1
    }
  }
}

function unreachable (call: DispatchCall): MimosarockError {
  return new MimosarockError(ResultCode.OWNER_UNREACHABLE, `the owner of ${call.endpoint} did not answer a short while ago`)
}

function isRepeatableBody (body: DispatchCall['body']): boolean {
  return body === undefined || body instanceof Uint8Array
}
