import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { AFFINITY_KEY_DIGITS } from '../contexts/affinity-key-digits.js'
import type { OwnershipHandoverOptions } from './ownership-handover-options.js'

const LOADS_METHOD = 'owner.loads'
/** Handled by `DisplacementReports`. */
const DISPLACED_METHOD = 'placement.displaced'
const CALL_TIMEOUT_MS = 500
/** Maximum number of chats per message; with the pause between messages it keeps within the control traffic budget. */
const CHATS_PER_CALL = 40
const CALL_PAUSE_MS = 1_000

/** Wire format of one endpoint's load: pool, endpoint, requests that the previous owner still has in flight. */
type EndpointLoad = readonly [pool: string, endpoint: string, running: number]
/** Wire format of a displaced chat: pool, affinity key, endpoint. */
type DisplacementReport = readonly [pool: string, affinityKey: string, endpoint: string]

/**
 * Hands over the endpoints that this router owns when it shuts down gracefully. It first announces to the fleet that it
 * is leaving. Then it sends the next owners the number of requests still in flight and, until the signal aborts, the
 * directory of displaced chats, the most recently recorded first.
 */
export class OwnershipHandover {
  private readonly _options: OwnershipHandoverOptions

  /**
   * Registers the handler that receives the loads of previous owners.
   * @param options configuration, membership and other dependencies
   */
  constructor (options: OwnershipHandoverOptions) {
    this._options = options
    options.messenger.handle(LOADS_METHOD, (params) => this._receiveLoads(params))
  }

  /**
   * Announces that this router is leaving and hands its endpoints over to their next owners.
   * @param signal stops the handover of the directory
   * @returns number of displaced chats that the next owners have accepted
   */
  async handOver (signal: AbortSignal): Promise<number> {
    const owned = this._ownedEndpoints()
    this._options.membership.leave()
    await this._sendLoads(owned)
    const chats = await this._sendDisplacedChats(signal)
    this._options.eventLog.info('ownerships-handed-over', { endpoints: owned.length, displaced_chats: chats })
    return chats
  }

  private _ownedEndpoints (): Array<readonly [pool: string, endpoint: string]> {
    const { configuration, owners, membership } = this._options
    const pools = configuration.current()?.configuration.pools ?? []
    return pools.flatMap((pool) => pool.endpoints
      .filter((endpoint) => owners.ownerOf(pool.name, endpoint.name)?.id === membership.self.id)
      .map((endpoint) => [pool.name, endpoint.name] as const))
  }

  private async _sendLoads (owned: ReadonlyArray<readonly [pool: string, endpoint: string]>): Promise<void> {
    const byOwner = new Map<string, EndpointLoad[]>()
    for (const [pool, endpoint] of owned) {
      const owner = this._nextOwner(pool, endpoint)
      if (owner === undefined) continue
      const loads = byOwner.get(owner.peerAddress) ?? []
      loads.push([pool, endpoint, this._options.inFlight(pool, endpoint)])
      byOwner.set(owner.peerAddress, loads)
    }
    // If a next owner does not respond, the endpoint's next load report includes the requests.
    await Promise.all([...byOwner].map(async ([peer, loads]) => await this._call(peer, LOADS_METHOD, loads)))
  }

  private async _sendDisplacedChats (signal: AbortSignal): Promise<number> {
    const byOwner = this._displacedChatsByOwner()
    let handedOver = 0
    while (byOwner.size > 0 && !signal.aborted) {
      for (const [peer, reports] of byOwner) {
        const batch = reports.splice(0, CHATS_PER_CALL)
        if (reports.length === 0) byOwner.delete(peer)
        if (await this._call(peer, DISPLACED_METHOD, batch.reverse())) handedOver += batch.length
        else byOwner.delete(peer)
        if (byOwner.size > 0) await this._options.clock.sleep(CALL_PAUSE_MS, signal)
      }
    }
    return handedOver
  }

  private _displacedChatsByOwner (): Map<string, DisplacementReport[]> {
    const byOwner = new Map<string, DisplacementReport[]>()
    for (const [key, endpoint] of this._options.displacedChats.entries()) {
      const [affinityKey, pool] = [key.slice(0, AFFINITY_KEY_DIGITS), key.slice(AFFINITY_KEY_DIGITS)]
      const primary = this._options.primaryEndpoint(pool, affinityKey)
      const owner = primary === undefined ? undefined : this._nextOwner(pool, primary)
      if (owner === undefined) continue
      const reports = byOwner.get(owner.peerAddress) ?? []
      reports.push([pool, affinityKey, endpoint])
      byOwner.set(owner.peerAddress, reports)
    }
    return byOwner
  }

  private _nextOwner (pool: string, endpoint: string): RouterIdentity | undefined {
    const owner = this._options.owners.ownerOf(pool, endpoint)
    return owner?.id === this._options.membership.self.id ? undefined : owner
  }

  private async _call (peerAddress: string, method: string, params: unknown): Promise<boolean> {
    try {
      await this._options.messenger.call(peerAddress, method, params, CALL_TIMEOUT_MS)
      return true
    } catch (error) {
      this._options.eventLog.warn('handover-failed', { peer: peerAddress, method, error: String(error) })
      return false
    }
  }

  private _receiveLoads (params: unknown): number {
    if (!Array.isArray(params)) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'malformed load handover')
    for (const [pool, endpoint, running] of params as EndpointLoad[]) {
      if (Number.isFinite(running) && running >= 0) this._options.recordExternalLoad(pool, endpoint, running)
    }
    return params.length
  }
}
