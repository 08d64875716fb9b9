import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { AFFINITY_KEY_DIGITS } from '../contexts/affinity-key-digits.js'
import type { OwnershipHandoverOptions } from './ownership-handover-options.js'

const LOADS_METHOD = 'owner.loads'
/** Answered by DisplacementReports. */
const DISPLACED_METHOD = 'placement.displaced'
const CALL_TIMEOUT_MS = 500
/** Chats in one call and pause between two calls: together they stay within today's control budget. */
const CHATS_PER_CALL = 40
const CALL_PAUSE_MS = 1_000

/** Load of one endpoint as it travels: pool, endpoint, requests that the former owner still runs. */
type EndpointLoad = readonly [pool: string, endpoint: string, running: number]
/** A displaced chat as it travels: pool, affinity key, endpoint. */
type Report = readonly [pool: string, affinityKey: string, endpoint: string]

/**
 * Ends this router's ownerships at a planned stop. The fleet learns at once that it leaves; the next owners then
 * get the loads that still run, and the directory of displaced chats, those seen last first, as long as time is.
 */
export class OwnershipHandover {
  private readonly _options: OwnershipHandoverOptions

  /**
   * Registers what takes loads at the messenger.
   * @param options what it works with
   */
  constructor (options: OwnershipHandoverOptions) {
    this._options = options
    options.messenger.handle(LOADS_METHOD, (params) => this._takeLoads(params))
  }

  /**
   * Leaves the fleet's owners and hands over.
   * @param signal ends the handover of the directory
   * @returns displaced chats that the next owners took
   */
  async handOver (signal: AbortSignal): Promise<number> {
    const owned = this._ownedHere()
    this._options.membership.leave()
    await this._sendLoads(owned)
    const chats = await this._sendChats(signal)
    this._options.eventLog.info('ownerships-handed-over', { endpoints: owned.length, displaced_chats: chats })
    return chats
  }

  private _ownedHere (): Array<readonly [pool: string, endpoint: string]> {
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
    // A next owner that does not answer sees the requests in the endpoint's next report.
    await Promise.all([...byOwner].map(async ([peer, loads]) => await this._call(peer, LOADS_METHOD, loads)))
  }

  private async _sendChats (signal: AbortSignal): Promise<number> {
    const byOwner = this._chatsByOwner()
    let handed = 0
    while (byOwner.size > 0 && !signal.aborted) {
      for (const [peer, reports] of byOwner) {
        const sent = reports.splice(0, CHATS_PER_CALL)
        if (reports.length === 0) byOwner.delete(peer)
        if (await this._call(peer, DISPLACED_METHOD, sent.reverse())) handed += sent.length
        else byOwner.delete(peer)
        if (byOwner.size > 0) await this._options.clock.sleep(CALL_PAUSE_MS, signal)
      }
    }
    return handed
  }

  private _chatsByOwner (): Map<string, Report[]> {
    const byOwner = new Map<string, Report[]>()
    for (const [name, endpoint] of this._options.displaced.entries()) {
      const [affinityKey, pool] = [name.slice(0, AFFINITY_KEY_DIGITS), name.slice(AFFINITY_KEY_DIGITS)]
      const first = this._options.firstEndpoint(pool, affinityKey)
      const owner = first === undefined ? undefined : this._nextOwner(pool, first)
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

  private _takeLoads (params: unknown): number {
    if (!Array.isArray(params)) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'a handover of loads is malformed')
    for (const [pool, endpoint, running] of params as EndpointLoad[]) {
      if (Number.isFinite(running) && running >= 0) this._options.noteForeign(pool, endpoint, running)
    }
    return params.length
  }
}
