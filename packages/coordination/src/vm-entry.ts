/** One VM as reported by the platform's list, which may be out of date: a hint, not evidence that the VM is up or down. */
export interface VmEntry {
  /** Name of the VM. */
  readonly name: string
  /** `router` or `endpoint`. */
  readonly role: string
  /** IP address and port of a router's JSON-RPC 2.0 server or of an endpoint. */
  readonly address: string
  readonly availabilityZone: string
  /** Whether the platform is about to remove the VM. */
  readonly leaving: boolean
}
