/** Whether the router may get calls, and why not. */
export interface Readiness {
  /**
   * @returns undefined if the router is ready, else the reason
   */
  reasonNotReady (): string | undefined
}
