/** One turn of a chat, as it comes in. */
export interface ChatArrival {
  /** Time since the start, in milliseconds. */
  readonly at: number
  /** Number of the chat. */
  readonly chat: number
  /** Number of the turn, from 0. */
  readonly turn: number
  /** Number of the workspace. */
  readonly workspace: number
  /** Tokens of the whole prompt, earlier turns included. */
  readonly promptTokens: number
  /** Tokens of the answer. */
  readonly answerTokens: number
}
