/** Time at which a piece of replicated state was last known to be current. */
export interface Freshness {
  /** The time, by the clock of this router; -Infinity if never verified. */
  verifiedAt: number
}
