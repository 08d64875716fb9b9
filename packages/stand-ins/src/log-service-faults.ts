/** Faults of a log service stand-in. Change the fields at any time; they hold from the next call on. */
export class LogServiceFaults {
  /** Appends fail and take no effect. */
  appendOutage = false
  /** Reads fail, also those that wait for a record. */
  readOutage = false
  /** Delay before an append takes effect, in milliseconds. */
  appendDelayMs = 0
  /** Delay before a read is served, in milliseconds. */
  readDelayMs = 0
  /** How many of the next appends take effect and lose their answer. */
  lostAnswers = 0
  /** Share of appends that take effect and lose their answer, from 0 to 1. */
  lostAnswerShare = 0
  /** How many of the next appends take effect twice. */
  duplicatedAppends = 0
  /** How many of the next appends fail at once and take effect `lateAppendMs` later. */
  lateAppends = 0
  /** How late those take effect, in milliseconds. */
  lateAppendMs = 1_000
}
