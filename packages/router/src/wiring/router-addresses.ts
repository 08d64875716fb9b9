/** Addresses on which a started router listens, each an IP address and port. */
export interface RouterAddresses {
  readonly callers: string
  readonly forwards: string
  readonly peers: string
  readonly operators: string
}
