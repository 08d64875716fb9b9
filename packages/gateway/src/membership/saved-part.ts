/** A part of the saved state, which is saved when it has changed. */
export interface SavedPart {
  /** Name of the part, for the log. */
  readonly name: string
  /** Interval at which it is checked for changes, in milliseconds; changes of the last one are lost if all routers stop at the same time. */
  readonly intervalMs: number
  /** Returns a number that rises with each change of the part; 0 if there is nothing to save. */
  readonly revision: () => number
  /**
   * Saves the part.
   * @param signal aborts the call
   */
  readonly save: (signal: AbortSignal) => Promise<void>
}
