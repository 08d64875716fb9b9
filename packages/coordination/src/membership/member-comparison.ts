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

/** Answer to a comparison: own record, bucket digests, records in buckets that differ. */
type ComparisonAnswer = readonly [unknown, number[], unknown[]]

/** Brings two routers' tables to the same state, at the cost of the buckets in which they differ. */
export class MemberComparison {
  private readonly _view: FleetView
  private readonly _exchange: HeartbeatExchange
  private readonly _messenger: PeerMessenger

  /**
   * @param view the fleet as this router sees it
   * @param exchange merges what arrives
   * @param messenger calls the peers
   */
  constructor (view: FleetView, exchange: HeartbeatExchange, messenger: PeerMessenger) {
    this._view = view
    this._exchange = exchange
    this._messenger = messenger
    messenger.handle(COMPARE, (params) => this._answerComparison(params))
    messenger.handle(OFFER, (params) => this._takeOffer(params))
    messenger.handle(REVISIONS, () => exchange.groupByRevision([...view.table.records]))
  }

  /**
   * Compares with a peer, which may not know this router yet, and takes and gives what is newer.
   * @param peerAddress IP number and port of its json-rpc-2.0 server
   * @throws {MimosarockError} if the peer does not answer
   */
  async compare (peerAddress: string): Promise<void> {
    const table = this._view.table
    const self = this._view.self
    const params = [memberCodec.encode(self), table.digest.buckets]
    const answer = await this._messenger.call(peerAddress, COMPARE, params, COMPARE_TIMEOUT_MS)
    const [peer, buckets, values] = answer as ComparisonAnswer
    const peerRecord = memberCodec.decode(peer)
    const offered = this._newerHere(table.differing(buckets), values.map(memberCodec.decode))
    this._exchange.mergeRecords([peer, ...values], peerRecord.identity.id)
    if (offered.length === 0) return
    await this._messenger.call(peerAddress, OFFER, [self.identity.id, offered.map(memberCodec.encode)], COMPARE_TIMEOUT_MS)
  }

  /**
   * Takes all revisions that a peer knows.
   * @param peerAddress IP number and port of its json-rpc-2.0 server
   * @param peerId its id
   */
  async takeRevisions (peerAddress: string, peerId: string): Promise<void> {
    const groups = await this._messenger.call(peerAddress, REVISIONS, [], COMPARE_TIMEOUT_MS)
    this._exchange.mergeRevisions(groups as Array<readonly [number, ...string[]]>, peerId)
  }

  private _newerHere (own: readonly MemberRecord[], theirs: readonly MemberRecord[]): MemberRecord[] {
    const known = new Map(theirs.map((record) => [record.identity.id, record]))
    return own.filter((record) => {
      const other = known.get(record.identity.id)
      if (other === undefined) return record.condition !== MemberCondition.REMOVED
      if (other.incarnation !== record.incarnation) return record.incarnation > other.incarnation
      return record.condition > other.condition
    })
  }

  private _answerComparison (params: unknown): ComparisonAnswer {
    const [peer, buckets] = params as [unknown, number[]]
    const record = memberCodec.decode(peer)
    const differing = this._view.table.differing(buckets)
    this._exchange.mergeRecords([peer], record.identity.id)
    return [memberCodec.encode(this._view.self), this._view.table.digest.buckets, differing.map(memberCodec.encode)]
  }

  private _takeOffer (params: unknown): number {
    const [source, records] = params as [string, unknown[]]
    this._exchange.mergeRecords(records, source)
    return 0
  }
}
