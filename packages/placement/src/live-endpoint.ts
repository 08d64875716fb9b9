/** An endpoint as placement sees it. */
export interface LiveEndpoint {
  readonly name: string
  readonly availabilityZone: string
  /** Requests that it runs at once without queueing; its weight in the rendezvous order. */
  readonly capacity: number
}
