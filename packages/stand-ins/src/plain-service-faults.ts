/** Faults of a plain service stand-in. Change the fields at any time; they hold from the next request on. */
export class PlainServiceFaults {
  /** Every call is answered with 500 before it runs; so are probes. */
  failing = false
  /** Every call is answered with 503 before it runs; probes succeed. */
  refusing = false
  /** Time that a call takes to run, in milliseconds. */
  delayMs = 0
  /** How many of the next calls run and then break their connection in place of an answer. */
  lostAnswers = 0
  /** How many of the next calls run and are never answered, on a connection that stays open. */
  silentAnswers = 0
  /** How many of the next calls are neither run nor answered. */
  silentCalls = 0
  /** Whether a call with a key that ran before is refused with 409. */
  refusesRepeats = false
}
