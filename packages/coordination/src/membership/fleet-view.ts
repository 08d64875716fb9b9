import type { EventLog } from '../event-log.js'
import type { Clock } from '../clock.js'
import type { RouterIdentity } from '../router-identity.js'
import { FlapDamping } from './flap-damping.js'
import { MemberCondition } from './member-condition.js'
import type { MemberRecord } from './member-record.js'
import { MemberTable } from './member-table.js'
import { RouterState } from './router-state.js'
import type { RouterView } from './router-view.js'

/** Called after a change with the changed record, its old value, and the peer that told it. */
type ChangeListener = (record: MemberRecord, previous: MemberRecord | undefined, source: string | undefined) => void

/** The fleet as this router sees it: merges what peers say, refutes what is said of itself, ages suspicions. */
export class FleetView {
  readonly table = new MemberTable((record, previous, source) => this._notice(record, previous, source))
  private readonly _clock: Clock
  private readonly _eventLog: EventLog
  private readonly _suspicionMs: number
  private readonly _damping = new FlapDamping()
  /** When each suspect is removed, in monotonic milliseconds. */
  private readonly _deadlines = new Map<string, number>()
  private readonly _held = new Set<string>()
  private readonly _changeListeners = new Set<ChangeListener>()
  private readonly _liveListeners = new Set<() => void>()
  private readonly _selfId: string
  private _live: readonly RouterIdentity[] | undefined

  /**
   * @param self this router
   * @param clock times suspicions
   * @param eventLog gets each change
   * @param suspicionMs how long a suspect is kept, in milliseconds
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
    if (record === undefined) throw new Error('the own record is never forgotten')
    return record
  }

  /** Live routers and suspects in the order of their ids, without those that are held back. */
  get live (): readonly RouterIdentity[] {
    this._live ??= [...this.table.records]
      .filter((record) => record.condition !== MemberCondition.REMOVED && !this._held.has(record.identity.id))
      .map((record) => record.identity)
      .sort((left, right) => left.id < right.id ? -1 : 1)
    return this._live
  }

  /** Every router that is not removed, held back or not. */
  get present (): RouterIdentity[] {
    return [...this.table.records]
      .filter((record) => record.condition !== MemberCondition.REMOVED)
      .map((record) => record.identity)
  }

  /** Every known router with its state, for operators. */
  get routers (): RouterView[] {
    return [...this.table.records].map((record) => ({
      identity: record.identity,
      state: stateOf(record),
      revision: record.revision
    }))
  }

  /**
   * Calls back after each change of a record.
   * @param listener gets the record, its old value and its source
   */
  onChange (listener: ChangeListener): void {
    this._changeListeners.add(listener)
  }

  /**
   * Calls back after each change of the live routers.
   * @param listener called without arguments
   * @returns a function that ends the calls
   */
  onLiveChange (listener: () => void): () => void {
    this._liveListeners.add(listener)
    return () => this._liveListeners.delete(listener)
  }

  /**
   * Takes a peer's record.
   * @param record what the peer says
   * @param source id of the peer
   * @returns whether the peer's record is older than the one here
   */
  merge (record: MemberRecord, source: string): boolean {
    if (record.identity.id === this._selfId) return this._mergeSelf(record)
    return this.table.merge(record, source)
  }

  /**
   * Notes that a router did not answer.
   * @param id the router
   * @param incarnation the incarnation that was called
   */
  suspect (id: string, incarnation: number): void {
    const known = this.table.get(id)
    if (known === undefined || known.incarnation !== incarnation || known.condition !== MemberCondition.LIVE) return
    this.table.put({ ...known, condition: MemberCondition.SUSPECT })
  }

  /**
   * Removes suspects whose time is up and lets in routers that were held back.
   * @param pausedMs how long this process itself stood still since the last call, in milliseconds
   */
  age (pausedMs: number): void {
    const now = this._clock.now()
    for (const [id, deadline] of [...this._deadlines]) {
      // Answers that came during a pause have not been read yet, so suspicions start over.
      if (pausedMs > 0) this._deadlines.set(id, now + this._suspicionMs)
      else if (deadline <= now) this._remove(id)
    }
    for (const id of [...this._held]) {
      const record = this.table.get(id)
      if (record !== undefined && this._damping.isHeld(record.identity.peerAddress, now)) continue
      this._held.delete(id)
      this._eventLog.info('router-released', { router: id })
      this._noticeLive()
    }
  }

  /**
   * Changes this router's own record.
   * @param change the fields that change
   */
  updateSelf (change: Partial<MemberRecord>): void {
    this.table.put({ ...this.self, ...change })
  }

  /** What others say of this router is never taken over: it answers with a higher incarnation. */
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

  private _remove (id: string): void {
    const known = this.table.get(id)
    this._deadlines.delete(id)
    if (known?.condition === MemberCondition.SUSPECT) this.table.put({ ...known, condition: MemberCondition.REMOVED })
  }

  private _notice (record: MemberRecord, previous: MemberRecord | undefined, source: string | undefined): void {
    const id = record.identity.id
    this._timeSuspicion(record, previous)
    this._damp(record, previous)
    if (previous === undefined || stateOf(previous) !== stateOf(record)) {
      this._eventLog.info('router-state', { router: id, state: stateOf(record), incarnation: record.incarnation, told_by: source })
    }
    for (const listener of this._changeListeners) listener(record, previous, source)
    const wasPresent = previous !== undefined && previous.condition !== MemberCondition.REMOVED
    const isPresent = record.condition !== MemberCondition.REMOVED
    const same = wasPresent === isPresent && previous?.identity.leaving === record.identity.leaving
    if (!same) this._noticeLive()
  }

  private _timeSuspicion (record: MemberRecord, previous: MemberRecord | undefined): void {
    const id = record.identity.id
    if (record.condition !== MemberCondition.SUSPECT) {
      this._deadlines.delete(id)
      return
    }
    const goesOn = previous?.condition === MemberCondition.SUSPECT && previous.incarnation === record.incarnation
    if (!goesOn) this._deadlines.set(id, this._clock.now() + this._suspicionMs)
  }

  private _damp (record: MemberRecord, previous: MemberRecord | undefined): void {
    const id = record.identity.id
    const address = record.identity.peerAddress
    const now = this._clock.now()
    const isRemoved = record.condition === MemberCondition.REMOVED
    const wasRemoved = previous === undefined || previous.condition === MemberCondition.REMOVED
    if (isRemoved) this._held.delete(id)
    if (isRemoved && !wasRemoved && !record.identity.leaving) this._damping.noteRemoval(address, now)
    if (isRemoved || !wasRemoved || id === this._selfId || !this._damping.isHeld(address, now)) return
    this._held.add(id)
    this._eventLog.warn('router-held-back', { router: id, peer: address })
  }

  private _noticeLive (): void {
    this._live = undefined
    for (const listener of this._liveListeners) listener()
  }
}

function stateOf (record: MemberRecord): RouterState {
  if (record.condition === MemberCondition.REMOVED) return RouterState.REMOVED
  if (record.condition === MemberCondition.SUSPECT) return RouterState.SUSPECT
  return record.identity.leaving ? RouterState.LEAVING : RouterState.LIVE
}
