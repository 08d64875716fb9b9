/** Permits that a router wants for the endpoints of one service. */
export interface ServiceDemand {
  /** Name of the service. */
  readonly service: string
  /** Number of requests. */
  readonly count: number
}
