/** Options of the random generation of arrivals. */
export interface ArrivalOptions {
  readonly seed: number
  /**
   * Time before the start of the run in which chats already begin, in milliseconds. Only their turns after the start
   * are included.
   */
  readonly historyMs: number
  /** Duration of the run, in milliseconds. */
  readonly durationMs: number
  /** New chats per second. */
  readonly chatsPerSecond: number
  /** Mean number of turns of a chat. */
  readonly meanTurns: number
  /** Time between two turns that is reserved for the response, in addition to the pause, in milliseconds. */
  readonly responseMs: number
  /** Mean of the exponentially distributed pause between two turns, in milliseconds. */
  readonly meanPauseMs: number
  readonly workspaces: number
  /** Start times of surges of new chats from a single workspace, in milliseconds since the start. */
  readonly surgeTimes: readonly number[]
  /** Duration of a surge, in milliseconds. */
  readonly surgeMs: number
  /** Additional new chats per second during a surge. */
  readonly surgeChatsPerSecond: number
}
