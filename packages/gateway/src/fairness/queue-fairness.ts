/** Fairness between workspaces in the queue of one service, over all routers. */
export interface QueueFairness {
  /**
   * Counts a request that arrives.
   * @param workspace name of the workspace
   */
  readonly countArrival: (workspace: string) => void
  /**
   * Counts a request that is admitted.
   * @param workspace name of the workspace
   */
  readonly countAdmission: (workspace: string) => void
  /** Records that a request was refused for want of capacity. */
  readonly recordRefusal: () => void
  /**
   * Returns whether a request that is not admitted at once may queue.
   * @param workspace name of the workspace
   */
  readonly mayQueue: (workspace: string) => boolean
}
