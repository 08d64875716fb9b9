/** Life cycle of a router process, as controlled by the command line. */
export interface StoppableRouter {
  /**
   * Starts the servers and all tasks.
   * @throws {MimosarockError} if a component cannot be started, for example ADDRESS_IN_USE
   */
  start (): Promise<unknown>
  /** Stops gracefully, within the grace period from the settings. */
  stop (): Promise<unknown>
  /** Stops immediately and aborts requests in flight. */
  kill (): Promise<unknown>
}
