/** Announcement of a router of the fleet. */
export interface RouterEntry {
  /** Name of the VM. */
  readonly name: string
  /** Availability zone of the VM. */
  readonly availabilityZone: string
  /** Address for calls between routers, host:port. */
  readonly address: string
}
