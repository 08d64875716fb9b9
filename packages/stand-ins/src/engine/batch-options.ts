/** Capacity and speed of an engine. */
export interface BatchOptions {
  /** Maximum number of requests in the batch; further ones are queued. */
  readonly capacity: number
  /** Time per token of a request that is alone in the batch, in milliseconds. */
  readonly tokenMs: number
  /** Additional time per token for each further request in the batch, in milliseconds. */
  readonly tokenMsPerRequest: number
  /** Prefill time per prompt token that is not in the cache, in milliseconds. */
  readonly prefillMsPerToken: number
}
