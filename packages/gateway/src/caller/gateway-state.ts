/** Where this router stands in its life. */
export interface GatewayState {
  /** Whether it is stopping: answers ask callers to close their connections. */
  isStopping: boolean
  /** Whether it takes no more requests. */
  refusesRequests: boolean
  /** Requests that are not answered yet. */
  requestsInWork: number
}
