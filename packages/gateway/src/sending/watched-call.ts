/** A call to an endpoint whose progress is watched. */
export interface WatchedCall {
  /** Id of the endpoint. */
  readonly endpointId: string
  /** Whether reading is paused until the caller has caught up. */
  readonly isPaused: boolean
  /** Number of parts received so far, whatever they contain; the head of the response is one. */
  readonly receivedParts: number
  /** Number of bytes that were received in usable units: whole events of a stream that can be resumed, else any bytes. */
  readonly usableBytes: number
  /**
   * Called while the call makes no progress, at each check.
   * @param isEndpointSilent whether the endpoint sends nothing on any of its calls
   */
  onStalled (isEndpointSilent: boolean): void
}
