/** A router of the fleet, as it announced itself. */
export interface RouterEntry {
  /** Name of the VM. */
  readonly name: string
  /** Availability zone of the VM. */
  readonly availabilityZone: string
  /** Address for calls between routers, host:port. */
  readonly address: string
}
