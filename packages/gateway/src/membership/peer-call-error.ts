/** Failure of a call to another router. */
export class PeerCallError extends Error {
  /** Time from the start of the call to its failure, in milliseconds. */
  readonly elapsedMs: number
  /** Bytes of the response body that had arrived. */
  readonly receivedBytes: number
  /** Length of the whole response body in bytes; undefined if no response had begun. */
  readonly expectedBytes: number | undefined

  /**
   * @param cause error that ended the call
   * @param elapsedMs time from the start of the call, in milliseconds
   * @param receivedBytes bytes of the response body that had arrived
   * @param expectedBytes length of the response body; undefined if no response had begun
   */
  constructor (cause: Error, elapsedMs: number, receivedBytes: number, expectedBytes: number | undefined) {
    super(cause.message, { cause })
    this.name = 'PeerCallError'
    this.elapsedMs = elapsedMs
    this.receivedBytes = receivedBytes
    this.expectedBytes = expectedBytes
  }
}
