/** An endpoint as its owner is chosen. */
export interface EndpointReference {
  readonly pool: string
  /** Name within the pool. */
  readonly endpoint: string
  /** IP number and port; pools that share an endpoint share its owner. */
  readonly address: string
  readonly availabilityZone: string
}
