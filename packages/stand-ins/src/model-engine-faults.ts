/** Faults of a model engine stand-in. Fields can be changed at any time and apply from the next request or event on. */
export class ModelEngineFaults {
  /** Whether all requests, probes included, get status 500. */
  failing = false
  /** Whether completions are rejected with status 503 before they run; probes succeed. */
  refusing = false
  /** Delay before a completion request is processed, in milliseconds; probes are not delayed. */
  headDelayMs = 0
  /** Whether token production is suspended; streams keep their connections open but carry no events. */
  stalled = false
  /**
   * Number of upcoming streamed responses whose connection breaks after `breakAfterTokens` tokens; the streams keep
   * running.
   */
  brokenStreams = 0
  /** Number of further tokens produced before the connection of such a response breaks. */
  breakAfterTokens = 3
  /** Lag of the load report, in milliseconds. */
  loadLagMs = 0
  /** Lag of cache events, in milliseconds. */
  cacheEventLagMs = 0
  /** Probability that a cache event is never published, from 0 to 1. */
  cacheEventLossProbability = 0
  /** Whether orders are applied but their responses are lost. */
  lostOrderAnswers = false
}
