/** Provides the exact load of an owned endpoint. */
export interface LoadSource {
  /** Current load, in requests of mean size. */
  readonly load: number
  /** Number of requests that the endpoint runs concurrently without queueing. */
  readonly capacity: number
}
