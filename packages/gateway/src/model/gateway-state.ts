/** Lifecycle state of this router, shared by requests and shutdown. */
export interface GatewayState {
  /** Whether the router is stopping: it is not ready, and responses carry `Connection: close`. */
  isStopping: boolean
  /**
   * Time, by `performance.now()`, by which a stopping router must have answered all requests; requests that may take
   * longer are rejected. Undefined while all requests are accepted; -Infinity to reject all.
   */
  stopDeadline: number | undefined
  /** Number of callers' requests that were received and not answered yet, queued ones included. */
  requestsInFlight: number
}
