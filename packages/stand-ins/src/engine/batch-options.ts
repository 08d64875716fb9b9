/** Speed of an engine. */
export interface BatchOptions {
  /** Requests computed at once; others wait. */
  readonly capacity: number
  /** Time between two tokens of a request that runs alone, in milliseconds. */
  readonly tokenMs: number
  /** What each further request in the batch adds to that, in milliseconds. */
  readonly tokenMsPerRequest: number
  /** Time to compute one prompt token that is not in the cache, in milliseconds. */
  readonly prefillMsPerToken: number
}
