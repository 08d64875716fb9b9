/** One VM as the platform lists it; a hint, never a proof. */
export interface VmEntry {
  /** The VM's name. */
  readonly name: string
  /** `router` or `endpoint`. */
  readonly role: string
  /** IP number and port: a router's json-rpc-2.0 server or an endpoint's address. */
  readonly address: string
  readonly availabilityZone: string
  /** Whether the platform is about to take the VM away. */
  readonly leaving: boolean
}
