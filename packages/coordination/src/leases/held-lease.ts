/** A lease that this process currently holds. */
export interface HeldLease {
  /** Offset of the claim that started the term; increases with each term. */
  readonly fencingNumber: number
  /** Time from which this process must not act on the lease, on its monotonic clock in milliseconds. */
  readonly stopsAt: number
}
