/** Faults of a log service stand-in. Fields can be changed at any time and apply from the next call on. */
export class LogServiceFaults {
  /** Whether appends fail without effect. */
  appendOutage = false
  /** Whether reads fail, long polls included. */
  readOutage = false
  /** Delay before an append takes effect, in milliseconds. */
  appendDelayMs = 0
  /** Delay before a read is served, in milliseconds. */
  readDelayMs = 0
  /** Number of upcoming appends that take effect but whose response is lost. */
  lostAnswers = 0
  /** Probability that an append takes effect but its response is lost, from 0 to 1. */
  lostAnswerProbability = 0
  /** Number of upcoming appends that take effect twice. */
  duplicatedAppends = 0
  /** Number of upcoming appends that fail immediately and take effect `lateAppendMs` later. */
  lateAppends = 0
  /** Delay after which a late append takes effect, in milliseconds. */
  lateAppendMs = 1_000
}
