/** Faults of a model engine stand-in. Change the fields at any time; they hold from the next request or event on. */
export class ModelEngineFaults {
  /** Every request is answered with 500, probes as well. */
  failing = false
  /** Completions are refused with 503 before they run; probes succeed. */
  refusing = false
  /** Delay before a request is looked at, in milliseconds; probes are not delayed. */
  headDelayMs = 0
  /** Streams keep their connections but carry no more events. */
  stalled = false
  /** How many of the next streams break their connection after `breakAfterTokens` tokens; they run on. */
  brokenStreams = 0
  /** Tokens that such a stream carries before it breaks. */
  breakAfterTokens = 3
  /** Age of the load report, in milliseconds. */
  loadLagMs = 0
  /** How late cache events are, in milliseconds. */
  cacheEventLagMs = 0
  /** Share of cache events that are never published, from 0 to 1. */
  cacheEventLossShare = 0
  /** Orders are carried out and their answers lost. */
  lostOrderAnswers = false
}
