import { requestSuspectId } from './request-suspect-id.js'
import type { Suspect } from './suspect.js'

/** Number of crashes, without an answer since the first of them, from which a suspect can be the culprit. */
const CULPRIT_CRASHES = 3
/** Minimum time between two crashes that are counted; endpoints that are lost at one moment have one cause, which need not be a request. */
const EPISODE_MS = 250
/** Age above which a crash is no longer counted for a suspect that is not quarantined. */
const CRASH_RETENTION_MS = 300_000
/** Duration of the first quarantine of a suspect; it doubles each time that an endpoint crashes on it again. */
const INITIAL_QUARANTINE_MS = 60_000
const MAXIMUM_QUARANTINE_MS = 3_600_000
/** Maximum number of crashes that are remembered, the latest ones. */
const MAXIMUM_CRASHES = 64

/**
 * Crashes of endpoints that were processing one suspect, since it was last answered. The suspect is a prompt part that requests share, or the whole of
 * one request.
 */
export class SuspectRecord {
  readonly id: string
  readonly depth: number
  private readonly _crashes = new Map<string, number>()
  private _quarantineCount = 0
  private _quarantinedAt = -Infinity
  /** Calls in progress with this suspect while it is on trial. */
  trials = 0
  /** Whether it was answered before the crashes, as far as any router remembers. */
  wasAnswered = false

  /**
   * @param suspect the suspect
   */
  constructor ({ id, depth }: Suspect) {
    this.id = id
    this.depth = depth
  }

  /** Whether the suspect is a whole request. */
  get isRequest (): boolean {
    return requestSuspectId.fingerprintOf(this.id) !== undefined
  }

  /** Whether the suspect has been quarantined, even if the time of it is over. */
  get isQuarantined (): boolean {
    return this._quarantineCount > 0
  }

  /** Whether there are so many crashes that it can be a culprit. */
  get hasEnoughCrashes (): boolean {
    return this.isConfirmed || this._crashes.size >= CULPRIT_CRASHES
  }

  /** Whether a trial after a quarantine has crashed an endpoint too. */
  get isConfirmed (): boolean {
    return this._quarantineCount > 1
  }

  /** End of the quarantine, by the clock of the crash times; -Infinity if it has not been quarantined. */
  get quarantineEnd (): number {
    if (!this.isQuarantined) return -Infinity
    return this._quarantinedAt + Math.min(MAXIMUM_QUARANTINE_MS, INITIAL_QUARANTINE_MS * 2 ** (this._quarantineCount - 1))
  }

  /** Ids and times of the crashes. */
  get crashes (): ReadonlyMap<string, number> {
    return this._crashes
  }

  /** Time of the latest crash; -Infinity if there is none. */
  get lastCrashAt (): number {
    return Math.max(...this._crashes.values())
  }

  /**
   * Whether a crash is known.
   * @param crashId id of the crash
   */
  has (crashId: string): boolean {
    return this._crashes.has(crashId)
  }

  /**
   * Adds a crash. One after the end of a quarantine renews it.
   * @param crashId id of the crash
   * @param at time of the crash
   */
  add (crashId: string, at: number): void {
    this._crashes.set(crashId, at)
    if (this._crashes.size > MAXIMUM_CRASHES) this._crashes.delete(this._crashes.keys().next().value as string)
    if (this.isQuarantined && at >= this.quarantineEnd) this.quarantine(at)
  }

  /**
   * Starts a quarantine.
   * @param at time of the crash that caused it
   */
  quarantine (at: number): void {
    this._quarantineCount += 1
    this._quarantinedAt = at
  }

  /** Ends the quarantine; the crashes stay. */
  release (): void {
    this._quarantineCount = 0
  }

  /**
   * Drops the crashes before an answer, and ends its quarantine if that is based on one of them.
   * @param at time of the answer
   * @returns whether the record has changed
   */
  clear (at: number): boolean {
    const count = this._crashes.size
    for (const [crashId, crashedAt] of this._crashes) if (crashedAt <= at) this._crashes.delete(crashId)
    if (this._crashes.size === count) return false
    this.release()
    return true
  }

  /**
   * Whether this suspect alone can be the cause of several crashes.
   * @param isExplained returns whether a crash has a known cause already
   */
  isCulpritWithout (isExplained: (crashId: string) => boolean): boolean {
    const times = this._unexplained(isExplained)
    return (this._isOneRequest ? times.length : countEpisodes(times)) >= CULPRIT_CRASHES
  }

  /**
   * Whether this is a prompt part that was never answered and explains the crashes of whole requests, and others in addition.
   * @param isExplained returns whether a crash has a known cause already
   * @param isExplainedByPart returns whether a crash has a prompt part as a known cause
   */
  isCommonCause (isExplained: (crashId: string) => boolean, isExplainedByPart: (crashId: string) => boolean): boolean {
    if (this.isRequest || this.wasAnswered) return false
    const unexplained = this._unexplained(isExplained).length
    return unexplained > 0 && unexplained < this._crashes.size && this.isCulpritWithout(isExplainedByPart)
  }

  /**
   * Whether the crashes of this suspect are so many more than those of another one that both have their cause in this one.
   * @param other suspect that occurs in the same requests
   * @param isExplained returns whether a crash has a known cause already
   */
  outweighs (other: SuspectRecord, isExplained: (crashId: string) => boolean): boolean {
    return this._unexplained(isExplained).length >= other._unexplained(isExplained).length + CULPRIT_CRASHES
  }

  /**
   * Drops crashes that are too old to be counted.
   * @param now current time
   * @returns whether none is left
   */
  expire (now: number): boolean {
    if (this.isQuarantined) return now >= this.quarantineEnd + MAXIMUM_QUARANTINE_MS
    for (const [crashId, at] of this._crashes) if (now - at > CRASH_RETENTION_MS) this._crashes.delete(crashId)
    return this._crashes.size === 0
  }

  /** Whether all crashes are of one request and its repeats, which does not run at several endpoints at a time, as far as answers tell. */
  private get _isOneRequest (): boolean {
    return this.isRequest && !this.wasAnswered
  }

  private _unexplained (isExplained: (crashId: string) => boolean): number[] {
    return [...this._crashes].filter(([crashId]) => !isExplained(crashId)).map(([, at]) => at)
  }
}

// Counts times that are apart from each other.
function countEpisodes (times: readonly number[]): number {
  let count = 0
  let last = -Infinity
  for (const at of [...times].sort((left, right) => left - right)) {
    if (at - last < EPISODE_MS) continue
    count += 1
    last = at
  }
  return count
}
