/** What is asked of a caller's connection, and done to it if it holds too much. */
export interface ConnectionHooks {
  /** Returns the number of bytes of the response that the caller has not taken yet. */
  readonly unsentBytes: () => number
  /**
   * Called when the connection has to be closed, since its caller reads too slowly.
   * @param unsentBytes bytes that the caller has not taken
   */
  readonly closeSlow: (unsentBytes: number) => void
}
