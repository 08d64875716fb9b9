/** A router that may own endpoints. */
export interface OwnerCandidate {
  readonly id: string
  readonly availabilityZone: string
  /** Whether it is stopping: it then owns nothing while another router is there. */
  readonly leaving: boolean
}
