/** What is known of another router. */
export interface RouterContact {
  /** Name of its VM. */
  readonly name: string
  /** Address for calls between routers, host:port. */
  readonly address: string
  /** Milliseconds since somebody heard of it last. */
  readonly heardAgoMs: number
}
