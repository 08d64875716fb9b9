/** A router process as the command line starts and stops it. */
export interface StoppableRouter {
  /**
   * Opens the servers and starts all tasks.
   * @throws {MimosarockError} for instance ADDRESS_IN_USE
   */
  start (): Promise<unknown>
  /** Stops gracefully, within the bound of the settings. */
  stop (): Promise<unknown>
  /** Ends everything at once. */
  kill (): Promise<unknown>
}
