/** What the fleet knows of one router process. */
export interface RouterIdentity {
  /** Unique for each start of a process. */
  readonly id: string
  /** Availability zone of its VM. */
  readonly availabilityZone: string
  /** IP number and port of its json-rpc-2.0 server. */
  readonly peerAddress: string
  /** IP number and port on which it takes forwarded calls. */
  readonly forwardAddress: string
  /** Whether it is stopping: it takes no new ownership. */
  readonly leaving: boolean
}
