import type { RequestContent } from '../model/request-content.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import { ChangeLog } from '../membership/change-log.js'
import type { CrashNote } from './crash-note.js'
import { findCulprits } from './find-culprits.js'
import { findSuspects } from './find-suspects.js'
import type { LostCall } from './lost-call.js'
import type { SuspectRecord } from './suspect-record.js'
import type { RequestQuarantineOptions } from './request-quarantine-options.js'
import { requestSuspectId } from './request-suspect-id.js'
import type { QuarantineBlock } from './quarantine-block.js'
import type { QuarantineChange } from './quarantine-change.js'
import type { QuarantineChanges } from './quarantine-changes.js'
import { QuarantineLog } from './quarantine-log.js'
import type { QuarantineNotes } from './quarantine-notes.js'
import { RecentAnswers } from './recent-answers.js'
import { sharedParts } from './shared-parts.js'
import type { Suspect } from './suspect.js'
import { SuspectTable } from './suspect-table.js'

/** Maximum number of prompt parts whose last answer is remembered. */
const MAXIMUM_ANSWERED_PARTS = 8_192
/** Maximum number of requests whose last answer is remembered, for news of crashes before it that arrive late. */
const MAXIMUM_ANSWERED_REQUESTS = 2_048
/** Time after a quarantine between the first trials of two routers, in which the first one learns and tells how its trial ended. */
const TRIAL_SPACING_MS = 2_000

/**
 * Finds what crashes endpoints ("queries of death"), a whole request that comes again or a prompt part that requests share, and keeps such
 * requests from reaching more endpoints.
 *
 * Evidence is shared by all routers: for each crash the requests that the endpoint was processing and the prompt parts of those that it had
 * not begun to answer, and for each suspect that it was answered since. A suspect with several crashes and no answer is quarantined. Afterwards one router
 * after the other may try one request with it: an answer ends the suspicion, a crash renews the quarantine for twice the time.
 */
export class RequestQuarantine {
  private readonly _options: RequestQuarantineOptions
  private readonly _log: QuarantineLog
  private readonly _suspects = new SuspectTable()
  private readonly _partAnswers = new RecentAnswers(MAXIMUM_ANSWERED_PARTS)
  private readonly _requestAnswers = new RecentAnswers(MAXIMUM_ANSWERED_REQUESTS)
  private readonly _changes = new ChangeLog<QuarantineChange>()
  private _revision = 0
  /** Whether crashes or answers have become known since the quarantines were last computed. */
  private _isOutdated = false
  private _onNews: () => void = () => undefined

  /**
   * @param options clock, log and rank of this router
   */
  constructor (options: RequestQuarantineOptions) {
    this._options = options
    this._log = new QuarantineLog(options.log)
  }

  /**
   * Sets the listener that is called when this router has learned of a crash by itself; it replaces the previous one.
   * @param onNews listener; it is called without arguments
   */
  onNews (onNews: () => void): void {
    this._onNews = onNews
  }

  /** Number of suspects, quarantined or not. */
  get suspectCount (): number {
    return this._suspects.size
  }

  /** Number of quarantined prompt parts, including those on trial. */
  get partCount (): number {
    return this._suspects.quarantined.length - this.requestCount
  }

  /** Number of quarantined requests, including those on trial. */
  get requestCount (): number {
    return this._suspects.quarantined.filter(({ isRequest }) => isRequest).length
  }

  /** Number that changes with the crashes to store. */
  get revision (): number {
    return this._revision
  }

  /** Returns the crashes because of which suspects are quarantined, and requests may soon be, for routers that get no news from this one. */
  crashesToStore (): CrashNote[] {
    const now = this._options.clock.now()
    return this._suspects.stored.flatMap(({ id, depth, crashes }) => {
      return [...crashes].map(([crashId, at]) => ({ crashId, parts: [{ id, depth }], ageMs: Math.ceil(now - at) }))
    })
  }

  /**
   * Returns why a request must not be sent to an endpoint now; undefined if it may be.
   * @param content what it asks for
   */
  findBlock (content: RequestContent): QuarantineBlock | undefined {
    for (const record of this._suspects.quarantinedOf(content)) {
      const remainingMs = this._trialTime(record) - this._options.clock.now()
      if (remainingMs > 0) return { suspectId: record.id, remainingMs }
      if (record.trials > 0) return { suspectId: record.id, remainingMs: TRIAL_SPACING_MS }
    }
    return undefined
  }

  /**
   * Returns whether a request or a part of its prompt is quarantined, even if it is on trial.
   * @param content what the request asks for
   */
  includes (content: RequestContent): boolean {
    return this._suspects.quarantinedOf(content).length > 0
  }

  /**
   * Records that a call to an endpoint begins.
   * @param content what the request asks for
   */
  beginCall (content: RequestContent): void {
    for (const record of this._suspects.quarantinedOf(content)) record.trials += 1
  }

  /**
   * Records that a call has ended, in whatever way.
   * @param content what the request asks for
   */
  endCall (content: RequestContent): void {
    for (const record of this._suspects.quarantinedOf(content)) record.trials = Math.max(0, record.trials - 1)
  }

  /**
   * Records that an endpoint has begun to answer a request, which clears the parts of its prompt.
   * @param content what the request asks for
   */
  recordBegin ({ prompt }: RequestContent): void {
    for (const { id } of sharedParts(prompt)) this._recordAnswer(id)
    this._updateQuarantines()
  }

  /**
   * Records that an endpoint has answered a request completely, which clears the request itself.
   * @param content what the request asks for
   */
  recordCompletion ({ fingerprint }: RequestContent): void {
    this._recordAnswer(requestSuspectId.of(fingerprint))
    this._updateQuarantines()
  }

  /**
   * Records the crash of an endpoint that this router has noticed.
   * @param endpoint the endpoint
   * @param calls calls that it has lost
   */
  recordCrash (endpoint: EndpointEntry, calls: readonly LostCall[]): void {
    const parts = findSuspects(calls)
    this._log.crashed(endpoint, parts)
    const lostAt = Math.min(...calls.map((call) => call.lostAt))
    const ageMs = this._options.clock.now() - lostAt
    this._applyCrash({ crashId: `${endpoint.id}@${endpoint.startedAt}`, parts, ageMs }, false)
    this._updateQuarantines()
    this._onNews()
  }

  /**
   * Applies what another router knows.
   * @param notes crashes and clearances
   * @param isFromUpstream whether the upstream router sent them
   */
  apply ({ crashes, clearances }: QuarantineNotes, isFromUpstream: boolean): void {
    for (const note of crashes) this._applyCrash(note, isFromUpstream)
    for (const { partId, ageMs } of clearances) this._clear(partId, this._options.clock.now() - ageMs, isFromUpstream)
    this._updateQuarantines()
  }

  /**
   * Returns what has changed since a position.
   * @param cursor position after the previous reading; 0 for everything that is retained
   * @param maximum maximum number of changes
   */
  notesSince (cursor: number, maximum: number): QuarantineChanges {
    const { changes, changesForUpstream, cursor: next } = this._changes.since(cursor, maximum)
    return { notes: this._toNotes(changes), notesForUpstream: this._toNotes(changesForUpstream), cursor: next }
  }

  private _answersOf (id: string): RecentAnswers {
    return requestSuspectId.fingerprintOf(id) === undefined ? this._partAnswers : this._requestAnswers
  }

  private _recordAnswer (id: string): void {
    const at = this._options.clock.now()
    this._answersOf(id).record(id, at)
    if (this._suspects.find(id) !== undefined) this._clear(id, at, false)
  }

  private _trialTime (record: SuspectRecord): number {
    return record.quarantineEnd + this._options.rank() * TRIAL_SPACING_MS
  }

  private _applyCrash ({ crashId, parts, ageMs }: CrashNote, isFromUpstream: boolean): void {
    const now = this._options.clock.now()
    const at = now - ageMs
    this._expire(now)
    const news = parts.filter((suspect) => this._addCrash(suspect, crashId, at))
    for (const { id, isQuarantined } of this._suspects.removeExcess()) if (isQuarantined) this._reportRelease(id)
    if (news.length === 0) return
    this._changes.append({ crashId, parts: news, at }, isFromUpstream)
    if (news.some(({ id }) => this._isStored(id))) this._revision += 1
    for (const { id } of news) this._tellOfEarlierAnswer(id, now)
    this._isOutdated = true
  }

  /** Adds a crash to the record of a suspect. Returns false if it is known, or the suspect was answered since. */
  private _addCrash (suspect: Suspect, crashId: string, at: number): boolean {
    const lastAnswer = this._answersOf(suspect.id).lastAnswer(suspect.id, this._options.clock.now())
    return this._suspects.addCrash(suspect, crashId, at, lastAnswer)
  }

  private _isStored (id: string): boolean {
    const record = this._suspects.find(id)
    return record !== undefined && SuspectTable.isStored(record)
  }

  /** Tells the other routers that a suspect was answered before its first crash, which makes it less suspect than its company. */
  private _tellOfEarlierAnswer (id: string, now: number): void {
    const lastAnswer = this._answersOf(id).lastAnswer(id, now)
    if (lastAnswer !== undefined && this._suspects.find(id)?.crashes.size === 1) this._changes.append({ partId: id, at: lastAnswer }, false)
  }

  private _clear (id: string, at: number, isFromUpstream: boolean): void {
    this._answersOf(id).record(id, at)
    const record = this._suspects.find(id)
    if (record === undefined) return
    const wasQuarantined = record.isQuarantined
    if (SuspectTable.isStored(record)) this._revision += 1
    const isNews = record.clear(at) || !record.wasAnswered
    record.wasAnswered = true
    if (record.crashes.size === 0) this._suspects.delete(id)
    if (!isNews) return
    this._changes.append({ partId: id, at }, isFromUpstream)
    if (wasQuarantined && !record.isQuarantined) this._reportRelease(id)
    this._isOutdated = true
  }

  /** Quarantines the suspects that explain the known crashes best, and no others, once after all news of a message. */
  private _updateQuarantines (): void {
    if (!this._isOutdated) return
    this._isOutdated = false
    const culprits = findCulprits(this._suspects.records)
    for (const record of this._suspects.records) {
      if (record.isQuarantined === culprits.has(record)) continue
      if (record.isQuarantined) {
        record.release()
        this._reportRelease(record.id)
      } else this._quarantine(record)
    }
  }

  private _quarantine (record: SuspectRecord): void {
    record.quarantine(record.lastCrashAt)
    this._revision += 1
    this._log.quarantined(record)
  }

  private _reportRelease (id: string): void {
    this._revision += 1
    this._log.released(id)
  }

  private _expire (now: number): void {
    for (const record of [...this._suspects.records]) {
      const { id } = record
      const wasStored = SuspectTable.isStored(record)
      if (!record.expire(now)) continue
      this._suspects.delete(id)
      if (wasStored) this._revision += 1
      if (record.isQuarantined) this._reportRelease(id)
    }
  }

  private _toNotes (changes: readonly QuarantineChange[]): QuarantineNotes {
    const now = this._options.clock.now()
    const crashes = changes.flatMap((change) => {
      return 'parts' in change ? [{ crashId: change.crashId, parts: change.parts, ageMs: Math.ceil(now - change.at) }] : []
    })
    const clearances = changes.flatMap((change) => 'partId' in change ? [{ partId: change.partId, ageMs: Math.ceil(now - change.at) }] : [])
    return { crashes, clearances }
  }
}
