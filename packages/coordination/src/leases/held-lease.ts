/** A lease that this process holds now. */
export interface HeldLease {
  /** Offset of the claim that won; grows from term to term. */
  readonly fencingNumber: number
  /** When this process stops using the lease, on its monotonic clock in milliseconds. */
  readonly stopsAt: number
}
