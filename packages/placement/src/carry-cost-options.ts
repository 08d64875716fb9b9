/** Figures with which carrying a context is weighed before there are measured ones. */
export interface CarryCostOptions {
  /** Size of the cache of one token, in bytes. */
  readonly bytesPerToken: number
  /** Rate at which a cache moves between two engines, in bytes a millisecond. */
  readonly linkBytesPerMs: number
  /** Time that an engine takes to compute one prompt token, in milliseconds. */
  readonly prefillMsPerToken: number
  /** Fixed time of one import, in milliseconds. */
  readonly fixedMs: number
}
