import type { RequestContent } from '../model/request-content.js'
import { DroppedCrashes } from './dropped-crashes.js'
import { requestSuspectId } from './request-suspect-id.js'
import { sharedParts } from './shared-parts.js'
import type { Suspect } from './suspect.js'
import { SuspectRecord } from './suspect-record.js'

/** Maximum number of suspects; those that crashed endpoints least recently are forgotten first, quarantined ones last. */
const MAXIMUM_SUSPECTS = 4_096
/** Number of crashes from which a request is stored, although it is not quarantined yet. */
const STORED_CRASHES = 2

/** The records of all suspects, in the order of their last crashes. */
export class SuspectTable {
  private readonly _records = new Map<string, SuspectRecord>()
  private readonly _droppedCrashes = new DroppedCrashes()

  /** Number of suspects, quarantined or not. */
  get size (): number {
    return this._records.size
  }

  /** All records. */
  get records (): Iterable<SuspectRecord> {
    return this._records.values()
  }

  /** Records of the quarantined suspects, including those on trial. */
  get quarantined (): readonly SuspectRecord[] {
    return [...this._records.values()].filter(({ isQuarantined }) => isQuarantined)
  }

  /** Records with crashes to store, for routers that get no news from this one. */
  get stored (): readonly SuspectRecord[] {
    return [...this._records.values()].filter((record) => SuspectTable.isStored(record))
  }

  /**
   * Returns whether the crashes of a suspect are stored: it is quarantined, or a request that soon may be.
   * @param record record of the suspect
   */
  static isStored (record: SuspectRecord): boolean {
    return record.isQuarantined || (record.isRequest && !record.wasAnswered && record.crashes.size >= STORED_CRASHES)
  }

  /**
   * Returns the record of a suspect; undefined if it is none.
   * @param id id of the suspect
   */
  find (id: string): SuspectRecord | undefined {
    return this._records.get(id)
  }

  /**
   * Returns the records of the quarantined suspects that a request includes.
   * @param content what the request asks for
   */
  quarantinedOf ({ prompt, fingerprint }: RequestContent): readonly SuspectRecord[] {
    if (this._records.size === 0) return []
    const ids = [requestSuspectId.of(fingerprint), ...sharedParts(prompt).map(({ id }) => id)]
    return ids.flatMap((id) => {
      const record = this._records.get(id)
      return record?.isQuarantined === true ? [record] : []
    })
  }

  /**
   * Adds a crash to the record of a suspect, which is created if there is none.
   * @param suspect the suspect
   * @param crashId id of the crash
   * @param at time of the crash
   * @param lastAnswer time of the last answer to the suspect; undefined if there was none
   * @returns false if the crash is known, also if the suspect was dropped since, or the suspect was answered since
   */
  addCrash (suspect: Suspect, crashId: string, at: number, lastAnswer: number | undefined): boolean {
    const record = this._records.get(suspect.id) ?? new SuspectRecord(suspect)
    if (record.has(crashId) || this._droppedCrashes.has(suspect.id, crashId) || (lastAnswer ?? -Infinity) > at) return false
    record.wasAnswered ||= lastAnswer !== undefined
    record.add(crashId, at)
    this._records.delete(suspect.id)
    this._records.set(suspect.id, record)
    return true
  }

  /**
   * Forgets a suspect.
   * @param id id of the suspect
   */
  delete (id: string): void {
    this._records.delete(id)
  }

  /** Forgets suspects beyond the maximum number and returns their records. */
  removeExcess (): readonly SuspectRecord[] {
    const excess = this._records.size - MAXIMUM_SUSPECTS
    if (excess <= 0) return []
    const removed = this._leastRecent(excess)
    for (const record of removed) {
      this._records.delete(record.id)
      this._droppedCrashes.add(record)
    }
    return removed
  }

  private _leastRecent (count: number): readonly SuspectRecord[] {
    const found: SuspectRecord[] = []
    for (const record of this._records.values()) {
      if (!record.isQuarantined) found.push(record)
      if (found.length === count) return found
    }
    const quarantined = [...this._records.values()].filter(({ isQuarantined }) => isQuarantined)
    return [...found, ...quarantined.slice(0, count - found.length)]
  }
}
