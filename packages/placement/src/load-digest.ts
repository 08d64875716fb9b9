/** Total load and capacity of the endpoints of a pool that one router owns, as exchanged between routers. */
export interface LoadDigest {
  /** Identifier of the router that owns the endpoints; a newer digest with the same identifier replaces an older one. */
  readonly routerId: string
  readonly pool: string
  /** Total load of the endpoints, in requests of mean size. */
  readonly load: number
  /** Total capacity of the endpoints. */
  readonly capacity: number
  /** Monotonic clock of the sender, in milliseconds; comparable only between digests of the same sender. */
  readonly time: number
}
