import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { PromptPart } from '../model/prompt-part.js'
import { ChangeLog } from '../membership/change-log.js'
import type { CrashNote } from './crash-note.js'
import { findCulprits } from './find-culprits.js'
import { PartRecord } from './part-record.js'
import type { PromptQuarantineOptions } from './prompt-quarantine-options.js'
import type { QuarantineBlock } from './quarantine-block.js'
import type { QuarantineChange } from './quarantine-change.js'
import type { QuarantineChanges } from './quarantine-changes.js'
import type { QuarantineNotes } from './quarantine-notes.js'
import { RecentAnswers } from './recent-answers.js'
import type { SuspectPart } from './suspect-part.js'

/** Maximum number of suspect parts, the first of which are forgotten first. */
const MAXIMUM_PARTS = 4_096
/** Time after a quarantine between the first trials of two routers, in which the first one learns and tells how its trial ended. */
const TRIAL_SPACING_MS = 2_000

/**
 * Finds the prompt parts that crash endpoints ("queries of death") and keeps requests with such a part from reaching more of them.
 *
 * Evidence is shared by all routers: for each crash the parts of the requests that the endpoint had not begun to answer, and for
 * each suspect part that it was answered since. A part with several crashes and no answer is quarantined. Afterwards one router
 * after the other may try one request with the part: an answer ends the suspicion, a crash renews the quarantine for twice the time.
 */
export class PromptQuarantine {
  private readonly _options: PromptQuarantineOptions
  private readonly _records = new Map<string, PartRecord>()
  private readonly _answers = new RecentAnswers()
  private readonly _changes = new ChangeLog<QuarantineChange>()
  private _revision = 0
  /** Whether crashes or answers have become known since the quarantines were last computed. */
  private _isOutdated = false
  private _onNews: () => void = () => undefined

  /**
   * @param options clock, log and rank of this router
   */
  constructor (options: PromptQuarantineOptions) {
    this._options = options
  }

  /**
   * Sets the listener that is called when this router has learned of a crash by itself; it replaces the previous one.
   * @param onNews listener; it is called without arguments
   */
  onNews (onNews: () => void): void {
    this._onNews = onNews
  }

  /** Number of quarantined parts, including those on trial. */
  get size (): number {
    return [...this._records.values()].filter(({ isQuarantined }) => isQuarantined).length
  }

  /** Number that changes when a part is quarantined or released. */
  get revision (): number {
    return this._revision
  }

  /** Returns the crashes because of which parts are quarantined, which restore the quarantines of another router. */
  quarantinedCrashes (): CrashNote[] {
    const now = this._options.clock.now()
    const records = [...this._records.values()].filter(({ isQuarantined }) => isQuarantined)
    return records.flatMap(({ id, depth, crashes }) => {
      return [...crashes].map(([crashId, at]) => ({ crashId, parts: [{ id, depth }], ageMs: Math.ceil(now - at) }))
    })
  }

  /**
   * Returns why a request must not be sent to an endpoint now; undefined if it may be.
   * @param prompt parts of its prompt
   */
  findBlock (prompt: readonly PromptPart[]): QuarantineBlock | undefined {
    for (const record of this._quarantinedOf(prompt)) {
      const remainingMs = this._trialTime(record) - this._options.clock.now()
      if (remainingMs > 0) return { partId: record.id, remainingMs }
      if (record.trials > 0) return { partId: record.id, remainingMs: TRIAL_SPACING_MS }
    }
    return undefined
  }

  /**
   * Records that a call to an endpoint begins.
   * @param prompt parts of its prompt
   */
  beginCall (prompt: readonly PromptPart[]): void {
    for (const record of this._quarantinedOf(prompt)) record.trials += 1
  }

  /**
   * Records that a call has ended, in whatever way.
   * @param prompt parts of its prompt
   */
  endCall (prompt: readonly PromptPart[]): void {
    for (const record of this._quarantinedOf(prompt)) record.trials = Math.max(0, record.trials - 1)
  }

  /**
   * Records that an endpoint has begun to answer a request, which clears the parts of its prompt.
   * @param prompt parts of its prompt
   */
  recordAnswer (prompt: readonly PromptPart[]): void {
    const at = this._options.clock.now()
    for (const { id } of sharedParts(prompt)) {
      this._answers.record(id, at)
      if (this._records.has(id)) this._clear(id, at, false)
    }
    this._updateQuarantines()
  }

  /**
   * Records the crash of an endpoint that this router has noticed.
   * @param endpoint the endpoint
   * @param prompts prompts of the requests that it had not begun to answer
   */
  recordCrash (endpoint: EndpointEntry, prompts: readonly (readonly PromptPart[])[]): void {
    const parts = new Map(prompts.flatMap(suspectParts).map((part) => [part.id, part]))
    if (parts.size === 0) return
    this._options.log.warn('endpoint-crashed', { endpoint: endpoint.id, service: endpoint.service, unanswered_parts: [...parts.keys()].join(',') })
    this._applyCrash({ crashId: `${endpoint.id}@${endpoint.startedAt}`, parts: [...parts.values()], ageMs: 0 }, false)
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

  private _quarantinedOf (prompt: readonly PromptPart[]): PartRecord[] {
    if (this._records.size === 0) return []
    return sharedParts(prompt).flatMap(({ id }) => {
      const record = this._records.get(id)
      return record?.isQuarantined === true ? [record] : []
    })
  }

  private _trialTime (record: PartRecord): number {
    return record.quarantineEnd + this._options.rank() * TRIAL_SPACING_MS
  }

  private _applyCrash ({ crashId, parts, ageMs }: CrashNote, isFromUpstream: boolean): void {
    const now = this._options.clock.now()
    const at = now - ageMs
    this._expire(now)
    const news = parts.filter((part) => this._addCrash(part, crashId, at))
    if (news.length === 0) return
    this._changes.append({ crashId, parts: news, at }, isFromUpstream)
    for (const { id } of news) this._tellOfEarlierAnswer(id, now)
    this._isOutdated = true
  }

  /** Adds a crash to the record of a part. Returns false if it is known, or the part was answered since. */
  private _addCrash (part: SuspectPart, crashId: string, at: number): boolean {
    const lastAnswer = this._answers.lastAnswer(part.id, this._options.clock.now())
    const record = this._records.get(part.id) ?? new PartRecord(part)
    if (record.has(crashId) || (lastAnswer ?? -Infinity) > at) return false
    record.wasAnswered ||= lastAnswer !== undefined
    record.add(crashId, at)
    this._records.delete(part.id)
    this._records.set(part.id, record)
    if (this._records.size > MAXIMUM_PARTS) this._records.delete(this._records.keys().next().value as string)
    return true
  }

  /** Tells the other routers that a part was answered before its first crash, which makes it less suspect than its company. */
  private _tellOfEarlierAnswer (partId: string, now: number): void {
    const lastAnswer = this._answers.lastAnswer(partId, now)
    if (lastAnswer !== undefined && this._records.get(partId)?.crashes.size === 1) this._changes.append({ partId, at: lastAnswer }, false)
  }

  private _clear (partId: string, at: number, isFromUpstream: boolean): void {
    this._answers.record(partId, at)
    const record = this._records.get(partId)
    if (record === undefined) return
    const wasQuarantined = record.isQuarantined
    const isNews = record.clear(at) || !record.wasAnswered
    record.wasAnswered = true
    if (record.crashes.size === 0) this._records.delete(partId)
    if (!isNews) return
    this._changes.append({ partId, at }, isFromUpstream)
    if (wasQuarantined && !record.isQuarantined) this._reportRelease(partId)
    this._isOutdated = true
  }

  /** Quarantines the parts that explain the known crashes best, and no others, once after all news of a message. */
  private _updateQuarantines (): void {
    if (!this._isOutdated) return
    this._isOutdated = false
    const culprits = findCulprits(this._records.values())
    for (const record of this._records.values()) {
      if (record.isQuarantined === culprits.has(record)) continue
      if (record.isQuarantined) {
        record.release()
        this._reportRelease(record.id)
      } else this._quarantine(record)
    }
  }

  private _quarantine (record: PartRecord): void {
    record.quarantine(record.lastCrashAt)
    this._revision += 1
    this._options.log.warn('prompt-part-quarantined', { part: record.id, depth: record.depth, crashes: record.crashes.size })
  }

  private _reportRelease (partId: string): void {
    this._revision += 1
    this._options.log.warn('prompt-part-released', { part: partId })
  }

  private _expire (now: number): void {
    for (const [id, record] of this._records) {
      if (!record.expire(now)) continue
      this._records.delete(id)
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

// All parts but the last one, which belongs to the request or its session.
function sharedParts (prompt: readonly PromptPart[]): readonly PromptPart[] {
  return prompt.slice(0, -1)
}

function suspectParts (prompt: readonly PromptPart[]): SuspectPart[] {
  return sharedParts(prompt).map(({ id }, depth) => ({ id, depth }))
}
