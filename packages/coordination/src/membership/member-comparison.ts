import type { PeerMessenger } from '../peer-messenger.js'
import type { FleetView } from './fleet-view.js'
import type { HeartbeatExchange } from './heartbeat-exchange.js'
import { memberCodec } from './member-codec.js'
import { MemberCondition } from './member-condition.js'
import type { MemberRecord } from './member-record.js'

const COMPARE_TIMEOUT_MS = 2_000
const COMPARE = 'membership.compare'
const OFFER = 'membership.offer'
const REVISIONS = 'membership.revisions'

/** Result of `membership.compare`: the responder's own record, its bucket digests, its records in buckets that differ. */
type ComparisonResponse = readonly [unknown, number[], unknown[]]

/** Anti-entropy: synchronizes the member tables of two routers by exchanging the buckets whose digests differ. */
export class MemberComparison {
  private readonly _view: FleetView
  private readonly _exchange: HeartbeatExchange
  private readonly _messenger: PeerMessenger

  /**
   * Registers the comparison methods with the messenger.
   * @param view this router's view of the fleet
   * @param exchange merges the records and revisions received
   * @param messenger calls the comparison methods of peers and receives their calls
   */
  constructor (view: FleetView, exchange: HeartbeatExchange, messenger: PeerMessenger) {
    this._view = view
    this._exchange = exchange
    this._messenger = messenger
    messenger.handle(COMPARE, (params) => this._handleComparison(params))
    messenger.handle(OFFER, (params) => this._handleOffer(params))
    messenger.handle(REVISIONS, () => exchange.groupByRevision([...view.table.records]))
  }

  /**
   * Synchronizes the member table with a peer in both directions. The peer may not know this router yet.
   * @param peerAddress IP address and port of the peer's JSON-RPC 2.0 server
   * @throws {MimosarockError} if the peer does not respond, or responds with an error
   */
  async compare (peerAddress: string): Promise<void> {
    const table = this._view.table
    const self = this._view.self
    const params = [memberCodec.encode(self), table.digest.buckets]
    const response = await this._messenger.call(peerAddress, COMPARE, params, COMPARE_TIMEOUT_MS)
    const [peer, buckets, values] = response as ComparisonResponse
    const peerRecord = memberCodec.decode(peer)
    const offered = this._newerRecords(table.recordsInDifferingBuckets(buckets), values.map(memberCodec.decode))
    this._exchange.mergeRecords([peer, ...values], peerRecord.identity.id)
    if (offered.length === 0) return
    await this._messenger.call(peerAddress, OFFER, [self.identity.id, offered.map(memberCodec.encode)], COMPARE_TIMEOUT_MS)
  }

  /**
   * Fetches and merges all configuration revisions that a peer knows.
   * @param peerAddress IP address and port of the peer's JSON-RPC 2.0 server
   * @param peerId the peer's router id, recorded as the source of the revisions
   */
  async fetchRevisions (peerAddress: string, peerId: string): Promise<void> {
    const groups = await this._messenger.call(peerAddress, REVISIONS, [], COMPARE_TIMEOUT_MS)
    this._exchange.mergeRevisions(groups as Array<readonly [number, ...string[]]>, peerId)
  }

  private _newerRecords (ownRecords: readonly MemberRecord[], peerRecords: readonly MemberRecord[]): MemberRecord[] {
    const peerRecordsById = new Map(peerRecords.map((record) => [record.identity.id, record]))
    return ownRecords.filter((record) => {
      const peerRecord = peerRecordsById.get(record.identity.id)
      if (peerRecord === undefined) return record.condition !== MemberCondition.REMOVED
      if (peerRecord.incarnation !== record.incarnation) return record.incarnation > peerRecord.incarnation
      return record.condition > peerRecord.condition
    })
  }

  private _handleComparison (params: unknown): ComparisonResponse {
    const [peer, buckets] = params as [unknown, number[]]
    const record = memberCodec.decode(peer)
    const differing = this._view.table.recordsInDifferingBuckets(buckets)
    this._exchange.mergeRecords([peer], record.identity.id)
    return [memberCodec.encode(this._view.self), this._view.table.digest.buckets, differing.map(memberCodec.encode)]
  }

  private _handleOffer (params: unknown): number {
    const [source, records] = params as [string, unknown[]]
    this._exchange.mergeRecords(records, source)
    return 0
  }
}
