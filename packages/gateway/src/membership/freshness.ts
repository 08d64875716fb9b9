/** A moment up to which knowledge is known to be current. */
export interface Freshness {
  /** The moment, by the router's clock. */
  verifiedAt: number
}
