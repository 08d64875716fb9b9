import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { DisplacementListener } from '../entry/displacement-listener.js'
import { displacedKey } from './displaced-key.js'
import type { DisplacementReportsOptions } from './displacement-reports-options.js'

const METHOD = 'placement.displaced'
/** Time in which reports for one owner are gathered, in milliseconds; a chat hardly returns sooner. */
const GATHER_MS = 250
const CALL_TIMEOUT_MS = 500
/** Most reports kept for one owner; those beyond are dropped, which costs a cache miss each. */
const MAXIMUM_GATHERED = 256

/** One displaced chat, as it travels: pool, affinity key, endpoint. */
type Report = readonly [pool: string, affinityKey: string, endpoint: string]

/**
 * Tells the owner of a displaced chat's first endpoint where the chat went, since each of the chat's turns asks
 * that owner first. Reports are gathered into one call for each owner and sent once.
 */
export class DisplacementReports implements DisplacementListener {
  private readonly _options: DisplacementReportsOptions
  private readonly _gathered = new Map<string, Report[]>()

  /**
   * @param options what it works with
   */
  constructor (options: DisplacementReportsOptions) {
    this._options = options
    options.messenger.handle(METHOD, (params) => this._take(params))
  }

  /**
   * Notes a displaced chat.
   * @param pool name of the pool
   * @param affinityKey the chat's key in hexadecimal
   * @param firstEndpoint first endpoint of the key's order
   * @param endpoint endpoint that took the chat
   */
  displaced (pool: string, affinityKey: string, firstEndpoint: string, endpoint: string): void {
    const owner = this._options.owners.ownerOf(pool, firstEndpoint)
    if (owner === undefined) return
    if (owner.id === this._options.selfId()) {
      this._options.displaced.record(displacedKey(pool, affinityKey), endpoint)
      return
    }
    const gathered = this._gathered.get(owner.peerAddress)
    if (gathered === undefined) {
      this._gathered.set(owner.peerAddress, [[pool, affinityKey, endpoint]])
      this._sendLater(owner.peerAddress)
    } else if (gathered.length < MAXIMUM_GATHERED) {
      gathered.push([pool, affinityKey, endpoint])
    }
  }

  private async _sendLater (peerAddress: string): Promise<void> {
    await this._options.clock.sleep(GATHER_MS)
    const reports = this._gathered.get(peerAddress) ?? []
    this._gathered.delete(peerAddress)
    // A lost report costs a cache miss, so it is not sent again.
    await this._options.messenger.call(peerAddress, METHOD, reports, CALL_TIMEOUT_MS).catch(() => {})
  }

  private _take (params: unknown): number {
    if (!Array.isArray(params)) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'a report of displaced chats is malformed')
    for (const report of params) {
      const [pool, affinityKey, endpoint] = report as Report
      this._options.displaced.record(displacedKey(pool, affinityKey), endpoint)
    }
    return params.length
  }
}
