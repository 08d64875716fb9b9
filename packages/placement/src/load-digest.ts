/** Load of the endpoints of one pool that one router owns, as it tells the others. */
export interface LoadDigest {
  /** Router that owns the endpoints. */
  readonly routerId: string
  readonly pool: string
  /** Sum of the endpoints' loads, in requests of mean size. */
  readonly load: number
  /** Sum of the endpoints' capacities. */
  readonly capacity: number
  /** Milliseconds of the sender's monotonic clock; orders the digests of one sender only. */
  readonly time: number
}
