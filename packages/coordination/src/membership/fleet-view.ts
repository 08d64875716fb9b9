import type { EventLog } from '../event-log.js'
import type { Clock } from '../clock.js'
import type { RouterIdentity } from '../router-identity.js'
import { FlapDamping } from './flap-damping.js'
import { MemberCondition } from './member-condition.js'
import type { MemberRecord } from './member-record.js'
import { MemberTable } from './member-table.js'
import { RouterState } from './router-state.js'
import type { RouterView } from './router-view.js'

/**
 * Called after a change with the new record, the previous one (undefined for a new router), and the id of the peer that
 * reported it (undefined if this router made the change).
 */
type ChangeListener = (record: MemberRecord, previous: MemberRecord | undefined, source: string | undefined) => void

/**
 * This router's view of the fleet. Merges the records that peers report, refutes suspicions of this router, and
 * removes suspects after a timeout.
 */
export class FleetView {
  readonly table = new MemberTable((record, previous, source) => this._handleChange(record, previous, source))
  private readonly _clock: Clock
  private readonly _eventLog: EventLog
  private readonly _suspicionMs: number
  private readonly _damping = new FlapDamping()
  /** Time at which each suspect is removed, in milliseconds of the monotonic clock, by router id. */
  private readonly _deadlines = new Map<string, number>()
  private readonly _suppressed = new Set<string>()
  private readonly _changeListeners = new Set<ChangeListener>()
  private readonly _liveListeners = new Set<() => void>()
  private readonly _selfId: string
  private _live: readonly RouterIdentity[] | undefined

  /**
   * @param self this router
   * @param clock measures the suspicion timeout
   * @param eventLog receives an event for each state change of a router
   * @param suspicionMs time from suspicion to removal, in milliseconds
   */
  constructor (self: RouterIdentity, clock: Clock, eventLog: EventLog, suspicionMs: number) {
    this._clock = clock
    this._eventLog = eventLog
    this._suspicionMs = suspicionMs
    this._selfId = self.id
    this.table.put({ identity: self, incarnation: 1, condition: MemberCondition.LIVE, revision: 0 })
  }

  /** This router's own record. */
  get self (): MemberRecord {
    const record = this.table.get(this._selfId)
    if (record === undefined) throw new Error('the record of this router is missing from the member table')
    return record
  }

  /** Live routers and suspects sorted by id, except the ones suppressed by flap damping. */
  get live (): readonly RouterIdentity[] {
    this._live ??= [...this.table.records]
      .filter((record) => record.condition !== MemberCondition.REMOVED && !this._suppressed.has(record.identity.id))
      .map((record) => record.identity)
      .sort((left, right) => left.id < right.id ? -1 : 1)
    return this._live
  }

  /** Every router that is not removed, including suppressed ones. */
  get present (): RouterIdentity[] {
    return [...this.table.records]
      .filter((record) => record.condition !== MemberCondition.REMOVED)
      .map((record) => record.identity)
  }

  /** Every known router with its state and revision, including removed ones; shown to operators. */
  get routers (): RouterView[] {
    return [...this.table.records].map((record) => ({
      identity: record.identity,
      state: stateOf(record),
      revision: record.revision
    }))
  }

  /**
   * Registers a listener for changes of member records.
   * @param listener receives the new record, the previous one, and the id of the reporting peer
   */
  onChange (listener: ChangeListener): void {
    this._changeListeners.add(listener)
  }

  /**
   * Registers a listener for changes of the set of live routers or of their leaving flags.
   * @param listener called without arguments, after the change took effect
   * @returns a function that removes the listener
   */
  onLiveChange (listener: () => void): () => void {
    this._liveListeners.add(listener)
    return () => this._liveListeners.delete(listener)
  }

  /**
   * Merges a record reported by a peer. A record about this router is never adopted, and is refuted if
   * it contradicts the current state.
   * @param record the reported record
   * @param source id of the reporting peer
   * @returns whether the reported record is older than the one in this view
   */
  merge (record: MemberRecord, source: string): boolean {
    if (record.identity.id === this._selfId) return this._mergeSelf(record)
    return this.table.merge(record, source)
  }

  /**
   * Marks a live router as a suspect because it did not respond. Has no effect if its incarnation has changed since.
   * @param id the router's id
   * @param incarnation the router's incarnation when the failed call started
   */
  suspect (id: string, incarnation: number): void {
    const known = this.table.get(id)
    if (known === undefined || known.incarnation !== incarnation || known.condition !== MemberCondition.LIVE) return
    this.table.put({ ...known, condition: MemberCondition.SUSPECT })
  }

  /**
   * Removes suspects whose timeout has expired and admits routers whose suppression has ended.
   * @param pausedMs time for which this process was suspended since the last invocation, in milliseconds; 0 if it was not
   */
  applyTimeouts (pausedMs: number): void {
    const now = this._clock.now()
    for (const [id, deadline] of [...this._deadlines]) {
      // Responses that arrived while the process was suspended have not been read yet; the timeouts therefore restart.
      if (pausedMs > 0) this._deadlines.set(id, now + this._suspicionMs)
      else if (deadline <= now) this._removeSuspect(id)
    }
    for (const id of [...this._suppressed]) {
      const record = this.table.get(id)
      if (record !== undefined && this._damping.isSuppressed(record.identity.peerAddress, now)) continue
      this._suppressed.delete(id)
      this._eventLog.info('router-released', { router: id })
      this._notifyLiveListeners()
    }
  }

  /**
   * Updates the record of this router.
   * @param change the fields to replace
   */
  updateSelf (change: Partial<MemberRecord>): void {
    this.table.put({ ...this.self, ...change })
  }

  /** Never adopts a reported record of this router; refutes a contradicting one by raising this router's incarnation. */
  private _mergeSelf (record: MemberRecord): boolean {
    const self = this.self
    const outdated = record.incarnation < self.incarnation
    const agrees = record.incarnation === self.incarnation && record.condition <= self.condition
    if (outdated) return true
    if (agrees || self.condition === MemberCondition.REMOVED) return false
    this._eventLog.info('suspicion-refuted', { incarnation: record.incarnation + 1 })
    this.updateSelf({ incarnation: record.incarnation + 1 })
    return false
  }

  private _removeSuspect (id: string): void {
    const known = this.table.get(id)
    this._deadlines.delete(id)
    if (known?.condition === MemberCondition.SUSPECT) this.table.put({ ...known, condition: MemberCondition.REMOVED })
  }

  private _handleChange (record: MemberRecord, previous: MemberRecord | undefined, source: string | undefined): void {
    const id = record.identity.id
    this._updateDeadline(record, previous)
    this._applyDamping(record, previous)
    if (previous === undefined || stateOf(previous) !== stateOf(record)) {
      this._eventLog.info('router-state', { router: id, state: stateOf(record), incarnation: record.incarnation, told_by: source })
    }
    for (const listener of this._changeListeners) listener(record, previous, source)
    const wasPresent = previous !== undefined && previous.condition !== MemberCondition.REMOVED
    const isPresent = record.condition !== MemberCondition.REMOVED
    const isSamePresence = wasPresent === isPresent && previous?.identity.leaving === record.identity.leaving
    if (!isSamePresence) this._notifyLiveListeners()
  }

  private _updateDeadline (record: MemberRecord, previous: MemberRecord | undefined): void {
    const id = record.identity.id
    if (record.condition !== MemberCondition.SUSPECT) {
      this._deadlines.delete(id)
      return
    }
    const isSameSuspicion = previous?.condition === MemberCondition.SUSPECT && previous.incarnation === record.incarnation
    if (!isSameSuspicion) this._deadlines.set(id, this._clock.now() + this._suspicionMs)
  }

  private _applyDamping (record: MemberRecord, previous: MemberRecord | undefined): void {
    const id = record.identity.id
    const address = record.identity.peerAddress
    const now = this._clock.now()
    const isRemoved = record.condition === MemberCondition.REMOVED
    const wasRemoved = previous === undefined || previous.condition === MemberCondition.REMOVED
    if (isRemoved) this._suppressed.delete(id)
    if (isRemoved && !wasRemoved && !record.identity.leaving) this._damping.recordRemoval(address, now)
    if (isRemoved || !wasRemoved || id === this._selfId || !this._damping.isSuppressed(address, now)) return
    this._suppressed.add(id)
    this._eventLog.warn('router-held-back', { router: id, peer: address })
  }

  private _notifyLiveListeners (): void {
    this._live = undefined
    for (const listener of this._liveListeners) listener()
  }
}

function stateOf (record: MemberRecord): RouterState {
  if (record.condition === MemberCondition.REMOVED) return RouterState.REMOVED
  if (record.condition === MemberCondition.SUSPECT) return RouterState.SUSPECT
  return record.identity.leaving ? RouterState.LEAVING : RouterState.LIVE
}
