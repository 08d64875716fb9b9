/** Where the exact load of an owned endpoint is read. */
export interface LoadSource {
  /** Load now, in requests of mean size. */
  readonly load: number
  /** Requests that the endpoint runs at once without queueing. */
  readonly capacity: number
}
