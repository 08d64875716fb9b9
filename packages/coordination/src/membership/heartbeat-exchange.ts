import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { RouterIdentity } from '../router-identity.js'
import type { FleetView } from './fleet-view.js'
import type { HeartbeatResponse } from './heartbeat-response.js'
import type { HeartbeatExtension } from './heartbeat-extension.js'
import type { HeartbeatMessage } from './heartbeat-message.js'
import { memberCodec } from './member-codec.js'
import type { MemberRecord } from './member-record.js'
import { PendingUpdates } from './pending-updates.js'

/** Maximum numbers of records and revisions in one heartbeat; the next heartbeat carries the remainder. */
const MAXIMUM_RECORDS = 64
const MAXIMUM_REVISIONS = 200

/** Result of comparing the peer's response with the view of this router. */
interface HeartbeatOutcome {
  /** Whether the peer does not know this router. */
  readonly unknown: boolean
  readonly sameMembers: boolean
  readonly sameRevisions: boolean
}

/** Creates heartbeats and their responses, and applies the ones received from peers. */
export class HeartbeatExchange {
  readonly pending = new PendingUpdates()
  private readonly _view: FleetView
  private readonly _extensions = new Map<string, HeartbeatExtension>()

  /**
   * @param view this router's view of the fleet; receives the records of heartbeats and responses
   */
  constructor (view: FleetView) {
    this._view = view
    view.onChange((record, previous, source) => this._queueUpdate(record, previous, source))
  }

  /**
   * Registers an extension that adds its payload to heartbeats and responses.
   * @param extension replaces an earlier extension of the same name
   */
  addExtension (extension: HeartbeatExtension): void {
    this._extensions.set(extension.name, extension)
  }

  /**
   * Creates a heartbeat and moves the pending updates for the peer into it.
   * @param peer the receiver
   */
  createMessage (peer: RouterIdentity): HeartbeatMessage {
    const self = this._view.self
    const digest = this._view.table.digest
    const records = this._recordsOf(this.pending.takeRecords(peer.id, MAXIMUM_RECORDS)).map(memberCodec.encode)
    const revisions = this.groupByRevision(this._recordsOf(this.pending.takeRevisions(peer.id, MAXIMUM_REVISIONS)))
    return [self.identity.id, self.incarnation, memberCodec.flags(self), self.revision, digest.members, digest.revisions, records, revisions, this._createPayloads(peer)]
  }

  /**
   * Requeues the updates of a heartbeat that could not be delivered.
   * @param peer the receiver
   * @param message the heartbeat
   */
  requeue (peer: RouterIdentity, message: HeartbeatMessage): void {
    const records = message[6].map((record) => memberCodec.decode(record).identity.id)
    const revisions = message[7].flatMap(([, ...ids]) => ids)
    this.pending.requeue(peer.id, records, revisions)
  }

  /**
   * Applies a heartbeat received from a peer and creates the response.
   * @param params params of the call, not validated yet
   * @throws {MimosarockError} PEER_PROTOCOL if the params are malformed
   */
  handleHeartbeat (params: unknown): HeartbeatResponse {
    const [senderId, incarnation, flags, revision, , , records, revisions, payloads] = this._validate(params)
    const corrections = this._mergeAll(records, senderId)
    const known = this._view.table.get(senderId)
    const digest = this._view.table.digest
    if (known === undefined) return [1, digest.members, digest.revisions, corrections.map(memberCodec.encode), {}]
    const { availabilityZone, peerAddress, forwardAddress } = known.identity
    const sender = memberCodec.decode([senderId, incarnation, flags, revision, availabilityZone, peerAddress, forwardAddress])
    if (this._view.merge(sender, senderId)) corrections.push(this._view.table.get(senderId) ?? known)
    this.mergeRevisions(revisions, senderId)
    this._deliverPayloads(sender.identity, payloads)
    return [0, digest.members, digest.revisions, corrections.map(memberCodec.encode), this._createPayloads(sender.identity)]
  }

  /**
   * Applies the response to a heartbeat.
   * @param peer the router that responded
   * @param value result of the `heartbeat` method
   */
  handleResponse (peer: RouterIdentity, value: unknown): HeartbeatOutcome {
    const [unknown, members, revisions, corrections, payloads] = value as HeartbeatResponse
    this._mergeAll(corrections, peer.id)
    this._deliverPayloads(peer, payloads)
    const digest = this._view.table.digest
    return { unknown: unknown === 1, sameMembers: members === digest.members, sameRevisions: revisions === digest.revisions }
  }

  /**
   * Merges member records.
   * @param values records as encoded by `memberCodec`
   * @param source id of the peer that reported them
   */
  mergeRecords (values: readonly unknown[], source: string): void {
    this._mergeAll(values, source)
  }

  /**
   * Merges configuration revisions. Ignores revisions of unknown routers and of this router, and ones that are not higher
   * than the revision known here.
   * @param groups each a revision followed by the ids of the routers that have it
   * @param source id of the peer that reported them
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
   * Groups routers by configuration revision, to encode a revision that many routers share only once.
   * @param records records of the routers to group
   * @returns groups that each start with the revision, followed by the ids of the routers that have it
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

  private _validate (params: unknown): HeartbeatMessage {
    const valid = Array.isArray(params) && params.length === 9 && Array.isArray(params[6]) && Array.isArray(params[7])
    if (!valid) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'malformed heartbeat')
    return params as unknown as HeartbeatMessage
  }

  /** Merges encoded records; returns the records of this view that are newer than the merged ones. */
  private _mergeAll (values: readonly unknown[], source: string): MemberRecord[] {
    const corrections: MemberRecord[] = []
    for (const value of values) {
      const record = memberCodec.decode(value)
      const outdated = this._view.merge(record, source)
      const current = this._view.table.get(record.identity.id)
      if (outdated && current !== undefined) corrections.push(current)
    }
    return corrections
  }

  private _recordsOf (ids: readonly string[]): MemberRecord[] {
    return ids.flatMap((id) => this._view.table.get(id) ?? [])
  }

  private _queueUpdate (record: MemberRecord, previous: MemberRecord | undefined, source: string | undefined): void {
    const id = record.identity.id
    const sameRecord = previous?.incarnation === record.incarnation && previous.condition === record.condition
    if (!sameRecord) this.pending.addRecord(id, source)
    else if (previous.revision !== record.revision) this.pending.addRevision(id, source)
  }

  private _createPayloads (peer: RouterIdentity): Record<string, unknown> {
    const payloads: Record<string, unknown> = {}
    for (const [name, extension] of this._extensions) {
      const payload = extension.outgoing(peer)
      if (payload !== undefined) payloads[name] = payload
    }
    return payloads
  }

  private _deliverPayloads (peer: RouterIdentity, payloads: Record<string, unknown>): void {
    for (const [name, payload] of Object.entries(payloads ?? {})) {
      this._extensions.get(name)?.incoming(peer, payload)
    }
  }
}
