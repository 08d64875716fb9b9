/** Time at which a piece of replicated state was last known to be current. */
export interface Freshness {
  /** The time, by the clock of this router; -Infinity if never verified. */
  verifiedAt: number
  /** Time at which the last outage of the store ended as far as this router knows, by its clock; -Infinity if there was none. */
  outageEndedAt: number
}
