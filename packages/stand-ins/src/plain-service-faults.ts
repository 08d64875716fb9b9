/** Faults of a plain service stand-in. Fields can be changed at any time and apply from the next request on. */
export class PlainServiceFaults {
  /** Whether all calls, probes included, get status 500 without running. */
  failing = false
  /** Whether all calls are rejected with status 503 without running; probes succeed. */
  refusing = false
  /** Duration of a run, in milliseconds. */
  delayMs = 0
  /** Number of upcoming calls that run but whose connection breaks instead of a response. */
  lostAnswers = 0
  /** Number of upcoming calls that run but never get a response, on a connection that stays open. */
  silentAnswers = 0
  /** Number of upcoming calls that neither run nor get a response, on a connection that stays open. */
  silentCalls = 0
  /** Whether a call with an Idempotency-Key that has already run is rejected with status 409. */
  refusesRepeats = false
}
