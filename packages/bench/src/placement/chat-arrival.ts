/** Arrival of one turn of a chat. */
export interface ChatArrival {
  /** Time since the start of the run, in milliseconds. */
  readonly arrivesAt: number
  /** Number of the chat. */
  readonly chat: number
  /** Number of the turn, from 0. */
  readonly turn: number
  /** Number of the workspace. */
  readonly workspace: number
  /** Number of tokens in the prompt, including those of earlier turns. */
  readonly promptTokens: number
  /** Number of tokens in the response. */
  readonly responseTokens: number
}
