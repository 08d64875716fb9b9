/** A set of interchangeable endpoints. */
export interface Service {
  /** Name, unique in the configuration. */
  readonly name: string
  /** Maximum number of connections that one endpoint accepts from all routers together; undefined if it is not stated. */
  readonly maximumConnections: number | undefined
}
