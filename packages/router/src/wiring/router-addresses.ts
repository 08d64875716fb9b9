/** Where a started router listens; each an IP number and port. */
export interface RouterAddresses {
  readonly callers: string
  readonly forwards: string
  readonly peers: string
  readonly operators: string
}
