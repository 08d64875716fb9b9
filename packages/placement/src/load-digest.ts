/** Total load and capacity of the endpoints of a pool that one router or a group of routers owns. */
export interface LoadDigest {
  /** Identifier of the owner or group of owners; a newer digest with the same identifier replaces an older one. */
  readonly routerId: string
  readonly pool: string
  /** Total load of the endpoints, in requests of mean size. */
  readonly load: number
  /** Total capacity of the endpoints. */
  readonly capacity: number
  /** Increases with each digest, as a sequence number or a monotonic time; comparable only for the same identifier. */
  readonly time: number
}
