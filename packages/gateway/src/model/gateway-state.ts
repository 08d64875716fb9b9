/** Where this router stands in its life. */
export interface GatewayState {
  /** Whether it is stopping: answers ask callers to close their connections. */
  isStopping: boolean
  /**
   * Moment, by `performance.now()`, at which a stopping router ends; requests that may take longer are refused. Undefined
   * while all are taken.
   */
  endsAt: number | undefined
  /** Requests that are not answered yet. */
  requestsInWork: number
}
