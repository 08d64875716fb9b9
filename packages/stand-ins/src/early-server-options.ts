import type { ResponseEnding } from './response-ending.js'

/** Options of an `EarlyServer`. */
export interface EarlyServerOptions {
  /** Returns what the server sends in answer to the head of a request. */
  readonly answer: (requestHead: string) => string
  /** Number of bytes of a request, its head included, after which the server answers. */
  readonly afterBytes: number
  /** Whether the server reads on after it has answered. */
  readonly readsOn: boolean
  /** How the connection ends; undefined if the server leaves it open. */
  readonly ending: ResponseEnding | undefined
  /** Time between the answer and the end of the connection, in milliseconds. */
  readonly delayMs: number
}
