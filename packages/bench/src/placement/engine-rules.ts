/** Speed and memory of an engine; the stand-in engines keep to the same rules. */
export interface EngineRules {
  /** Requests computed at once; others wait. */
  readonly capacity: number
  /** Time between two tokens of a request that runs alone, in milliseconds. */
  readonly tokenMs: number
  /** What each further request in the batch adds to that, in milliseconds. */
  readonly tokenMsPerRequest: number
  /** Time to compute one prompt token that is not in the cache, in milliseconds. */
  readonly prefillMsPerToken: number
  /** Most tokens in the prefix cache. */
  readonly cacheLimitTokens: number
}
