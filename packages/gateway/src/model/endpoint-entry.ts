/** Registration of an endpoint in the platform's store. */
export interface EndpointEntry {
  /** Id; may be reused after a restart. */
  readonly id: string
  /** Name of the service that the endpoint belongs to. */
  readonly service: string
  /** Address, host:port. */
  readonly address: string
  /** Availability zone. */
  readonly availabilityZone: string
  /** Number of requests that the endpoint runs concurrently. */
  readonly slots: number
  /** Whether the endpoint is draining before it stops and must get no new requests. */
  readonly isDraining: boolean
  /** Start time of this incarnation in Unix milliseconds; 0 if unknown. */
  readonly startedAt: number
  /** Counter that rises with each registration of this incarnation; 0 if unknown. */
  readonly revision: number
  /** Time for which the endpoint stayed cold when it registered, in milliseconds; undefined if it is warm. */
  readonly warmUpLeftMs?: number | undefined
}
