/** A service and the weight by which it gets requests of a route. */
export interface ServiceShare {
  /** Name of the service. */
  readonly service: string
  /** Weight, relative to the sum of the weights of the route's services. */
  readonly weight: number
}
