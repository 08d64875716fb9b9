/** A service and its share of a route's requests. */
export interface ServiceShare {
  /** Name of the service. */
  readonly service: string
  /** Weight against the other shares of the route. */
  readonly weight: number
}
