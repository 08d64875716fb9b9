/** Speed and memory of a simulated engine. The replay and the stand-in engines apply them alike. */
export interface EngineParameters {
  /** Maximum number of requests in a batch; further requests are queued. */
  readonly capacity: number
  /** Time between two tokens of a request that runs alone, in milliseconds. */
  readonly tokenMs: number
  /** Increase of that time for each further request in the batch, in milliseconds. */
  readonly tokenMsPerRequest: number
  /** Time to compute one prompt token that is not in the cache, in milliseconds. */
  readonly prefillMsPerToken: number
  /** Maximum number of tokens in the prefix cache. */
  readonly cacheLimitTokens: number
}
