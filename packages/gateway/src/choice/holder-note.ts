/** Says that an endpoint came to hold the context of a key. */
export interface HolderNote {
  /** Identity of the last shared part of the prompt. */
  readonly key: string
  /** Identity of the endpoint. */
  readonly endpointId: string
}
