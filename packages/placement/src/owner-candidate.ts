/** Router that is eligible to own named resources. */
export interface OwnerCandidate {
  readonly id: string
  readonly availabilityZone: string
  /** Whether the router is leaving the fleet; it then owns nothing unless all live routers are leaving. */
  readonly leaving: boolean
}
