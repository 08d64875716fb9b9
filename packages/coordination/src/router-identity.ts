/** Identity and addresses of one router process, as known to the fleet. */
export interface RouterIdentity {
  /** Unique for each start of a router process. */
  readonly id: string
  /** Availability zone of the router's VM. */
  readonly availabilityZone: string
  /** IP address and port of the router's JSON-RPC 2.0 server. */
  readonly peerAddress: string
  /** IP address and port on which the router accepts forwarded calls. */
  readonly forwardAddress: string
  /** Whether the router is shutting down and accepts no new ownership. */
  readonly leaving: boolean
}
