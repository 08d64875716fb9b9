/** Requests of this router that wait until they may be sent. */
export interface RequestQueues {
  /**
   * Returns the number of requests that wait.
   * @param service name of the service
   */
  readonly queued: (service: string) => number
  /**
   * Called when permits have arrived.
   * @param count number of permits
   */
  readonly permitsArrived: (count: number) => void
}
