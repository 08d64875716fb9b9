import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { DisplacementListener } from '../entry/displacement-listener.js'
import { displacedKey } from './displaced-key.js'
import type { DisplacementReportsOptions } from './displacement-reports-options.js'

const DISPLACED_METHOD = 'placement.displaced'
/** Time for which reports to one owner are batched, in milliseconds; the next turn of a chat rarely arrives sooner. */
const BATCH_DELAY_MS = 250
const CALL_TIMEOUT_MS = 500
/** Maximum number of reports in a batch; further ones are dropped, at the cost of a cache miss each. */
const MAXIMUM_BATCH_LENGTH = 256

/** Wire format of one displaced chat. */
type DisplacementReport = readonly [pool: string, affinityKey: string, endpoint: string]

/**
 * Reports to the owner of a displaced chat's primary endpoint where the chat was placed, because every turn of the
 * chat is dispatched to that owner first. Reports to one owner are batched into one call, which is not retried.
 */
export class DisplacementReports implements DisplacementListener {
  private readonly _options: DisplacementReportsOptions
  private readonly _batches = new Map<string, DisplacementReport[]>()

  /**
   * @param options dependencies; registers a handler for reports from peers with the messenger
   */
  constructor (options: DisplacementReportsOptions) {
    this._options = options
    options.messenger.handle(DISPLACED_METHOD, (params) => this._receive(params))
  }

  /**
   * Records a displaced chat if this router owns its primary endpoint, otherwise schedules a report to the owner.
   * @param pool name of the pool
   * @param affinityKey affinity key of the chat in hexadecimal
   * @param primaryEndpoint primary endpoint of the chat
   * @param endpoint endpoint that accepted the chat
   */
  recordDisplacement (pool: string, affinityKey: string, primaryEndpoint: string, endpoint: string): void {
    const owner = this._options.owners.ownerOf(pool, primaryEndpoint)
    if (owner === undefined) return
    if (owner.id === this._options.selfId()) {
      this._options.displacedChats.record(displacedKey(pool, affinityKey), endpoint)
      return
    }
    const batch = this._batches.get(owner.peerAddress)
    if (batch === undefined) {
      this._batches.set(owner.peerAddress, [[pool, affinityKey, endpoint]])
      this._sendBatch(owner.peerAddress)
    } else if (batch.length < MAXIMUM_BATCH_LENGTH) {
      batch.push([pool, affinityKey, endpoint])
    }
  }

  private async _sendBatch (peerAddress: string): Promise<void> {
    await this._options.clock.sleep(BATCH_DELAY_MS)
    const reports = this._batches.get(peerAddress) ?? []
    this._batches.delete(peerAddress)
    // Not retried: a lost report only costs a cache miss.
    await this._options.messenger.call(peerAddress, DISPLACED_METHOD, reports, CALL_TIMEOUT_MS).catch(() => {})
  }

  private _receive (params: unknown): number {
    if (!Array.isArray(params)) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'a report of displaced chats is malformed')
    for (const report of params) {
      const [pool, affinityKey, endpoint] = report as DisplacementReport
      this._options.displacedChats.record(displacedKey(pool, affinityKey), endpoint)
    }
    return params.length
  }
}
