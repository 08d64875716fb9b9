import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { RouterIdentity } from '../router-identity.js'
import type { FleetView } from './fleet-view.js'
import type { HeartbeatAnswer } from './heartbeat-answer.js'
import type { HeartbeatExtension } from './heartbeat-extension.js'
import type { HeartbeatMessage } from './heartbeat-message.js'
import { memberCodec } from './member-codec.js'
import type { MemberRecord } from './member-record.js'
import { PendingUpdates } from './pending-updates.js'

/** Bounds on one heartbeat; more follows in the next. */
const MAXIMUM_RECORDS = 64
const MAXIMUM_REVISIONS = 200

/** What a heartbeat's answer tells the sender to do. */
interface HeartbeatOutcome {
  /** The peer does not know this router. */
  readonly unknown: boolean
  readonly sameMembers: boolean
  readonly sameRevisions: boolean
}

/** Writes and reads heartbeats and their answers. */
export class HeartbeatExchange {
  readonly pending = new PendingUpdates()
  private readonly _view: FleetView
  private readonly _extensions = new Map<string, HeartbeatExtension>()

  /**
   * @param view the fleet as this router sees it
   */
  constructor (view: FleetView) {
    this._view = view
    view.onChange((record, previous, source) => this._queue(record, previous, source))
  }

  /**
   * Adds a payload to the heartbeats.
   * @param extension gives and takes the payloads
   */
  addExtension (extension: HeartbeatExtension): void {
    this._extensions.set(extension.name, extension)
  }

  /**
   * Makes a heartbeat with the news for a peer.
   * @param peer who gets it
   */
  message (peer: RouterIdentity): HeartbeatMessage {
    const self = this._view.self
    const digest = this._view.table.digest
    const records = this._recordsOf(this.pending.takeRecords(peer.id, MAXIMUM_RECORDS)).map(memberCodec.encode)
    const revisions = this.groupByRevision(this._recordsOf(this.pending.takeRevisions(peer.id, MAXIMUM_REVISIONS)))
    return [self.identity.id, self.incarnation, memberCodec.flags(self), self.revision, digest.members, digest.revisions, records, revisions, this._payloads(peer)]
  }

  /**
   * Puts the news of a heartbeat back that did not arrive.
   * @param peer who did not get it
   * @param message the heartbeat
   */
  putBack (peer: RouterIdentity, message: HeartbeatMessage): void {
    const records = message[6].map((record) => memberCodec.decode(record).identity.id)
    const revisions = message[7].flatMap(([, ...ids]) => ids)
    this.pending.putBack(peer.id, records, revisions)
  }

  /**
   * Takes a peer's heartbeat and makes the answer.
   * @param params what arrived
   * @throws {MimosarockError} PEER_PROTOCOL
   */
  answer (params: unknown): HeartbeatAnswer {
    const [senderId, incarnation, flags, revision, , , records, revisions, payloads] = this._checked(params)
    const corrections = this._mergeAll(records, senderId)
    const known = this._view.table.get(senderId)
    const digest = this._view.table.digest
    if (known === undefined) return [1, digest.members, digest.revisions, corrections.map(memberCodec.encode), {}]
    const { availabilityZone, peerAddress, forwardAddress } = known.identity
    const sender = memberCodec.decode([senderId, incarnation, flags, revision, availabilityZone, peerAddress, forwardAddress])
    if (this._view.merge(sender, senderId)) corrections.push(this._view.table.get(senderId) ?? known)
    this.mergeRevisions(revisions, senderId)
    this._takePayloads(sender.identity, payloads)
    return [0, digest.members, digest.revisions, corrections.map(memberCodec.encode), this._payloads(sender.identity)]
  }

  /**
   * Takes the answer to a heartbeat.
   * @param peer who answered
   * @param value what arrived
   */
  takeAnswer (peer: RouterIdentity, value: unknown): HeartbeatOutcome {
    const [unknown, members, revisions, corrections, payloads] = value as HeartbeatAnswer
    this._mergeAll(corrections, peer.id)
    this._takePayloads(peer, payloads)
    const digest = this._view.table.digest
    return { unknown: unknown === 1, sameMembers: members === digest.members, sameRevisions: revisions === digest.revisions }
  }

  /**
   * Takes records.
   * @param values encoded records
   * @param source id of the peer that told them
   */
  mergeRecords (values: readonly unknown[], source: string): void {
    this._mergeAll(values, source)
  }

  /**
   * Takes revisions; those of unknown routers are ignored.
   * @param groups each a revision with the ids that have it
   * @param source id of the peer that told them
   */
  mergeRevisions (groups: ReadonlyArray<readonly [number, ...string[]]>, source: string): void {
    for (const [revision, ...ids] of groups) {
      for (const id of ids) {
        const known = this._view.table.get(id)
        if (known === undefined || known.revision >= revision || id === this._view.self.identity.id) continue
        this._view.table.put({ ...known, revision }, source)
      }
    }
  }

  /**
   * Groups routers by their revisions, so that a revision which many share is written once.
   * @param records the routers
   */
  groupByRevision (records: readonly MemberRecord[]): Array<readonly [number, ...string[]]> {
    const groups = new Map<number, string[]>()
    for (const { revision, identity } of records) {
      const ids = groups.get(revision) ?? []
      ids.push(identity.id)
      groups.set(revision, ids)
    }
    return [...groups].map(([revision, ids]) => [revision, ...ids])
  }

  private _checked (params: unknown): HeartbeatMessage {
    const valid = Array.isArray(params) && params.length === 9 && Array.isArray(params[6]) && Array.isArray(params[7])
    if (!valid) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'a heartbeat is malformed')
    return params as unknown as HeartbeatMessage
  }

  private _mergeAll (values: readonly unknown[], source: string): MemberRecord[] {
    const corrections: MemberRecord[] = []
    for (const value of values) {
      const record = memberCodec.decode(value)
      const outdated = this._view.merge(record, source)
      const own = this._view.table.get(record.identity.id)
      if (outdated && own !== undefined) corrections.push(own)
    }
    return corrections
  }

  private _recordsOf (ids: readonly string[]): MemberRecord[] {
    return ids.flatMap((id) => this._view.table.get(id) ?? [])
  }

  private _queue (record: MemberRecord, previous: MemberRecord | undefined, source: string | undefined): void {
    const id = record.identity.id
    const sameRecord = previous?.incarnation === record.incarnation && previous.condition === record.condition
    if (!sameRecord) this.pending.addRecord(id, source)
    else if (previous.revision !== record.revision) this.pending.addRevision(id, source)
  }

  private _payloads (peer: RouterIdentity): Record<string, unknown> {
    const payloads: Record<string, unknown> = {}
    for (const [name, extension] of this._extensions) {
      const payload = extension.outgoing(peer)
      if (payload !== undefined) payloads[name] = payload
    }
    return payloads
  }

  private _takePayloads (peer: RouterIdentity, payloads: Record<string, unknown>): void {
    for (const [name, payload] of Object.entries(payloads ?? {})) {
      this._extensions.get(name)?.incoming(peer, payload)
    }
  }
}
