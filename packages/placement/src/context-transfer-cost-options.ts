/** Initial estimates for the cost of transferring a context, used until imports have been measured. */
export interface ContextTransferCostOptions {
  /** Size of the KV cache of one token, in bytes. */
  readonly bytesPerToken: number
  /** Transfer rate between two engines, in bytes per millisecond. */
  readonly linkBytesPerMs: number
  /** Time that an engine needs to prefill one prompt token, in milliseconds. */
  readonly prefillMsPerToken: number
  /** Fixed overhead of one import, in milliseconds. */
  readonly fixedMs: number
}
