/** The properties of an endpoint that determine its owner. */
export interface EndpointReference {
  readonly pool: string
  /** Name of the endpoint, unique within the pool. */
  readonly endpoint: string
  /** IP address and port. The owner is chosen by address; pools that share an endpoint therefore share its owner. */
  readonly address: string
  readonly availabilityZone: string
}
