/** What arrivals are drawn from. */
export interface ArrivalOptions {
  readonly seed: number
  /** Time before the start in which chats began whose later turns belong to the run, in milliseconds. */
  readonly historyMs: number
  /** Length of the run, in milliseconds. */
  readonly durationMs: number
  /** Chats that begin a second. */
  readonly chatsPerSecond: number
  /** Mean number of turns of a chat. */
  readonly meanTurns: number
  /** Time between two turns beside the pause, for the answer, in milliseconds. */
  readonly answerMs: number
  /** Mean pause between two turns, in milliseconds. */
  readonly meanPauseMs: number
  readonly workspaces: number
  /** Times at which a surge of new chats of one workspace begins, in milliseconds. */
  readonly surgesAt: readonly number[]
  /** Length of a surge, in milliseconds. */
  readonly surgeMs: number
  /** Chats that a surge begins a second, beside the others. */
  readonly surgeChatsPerSecond: number
}
