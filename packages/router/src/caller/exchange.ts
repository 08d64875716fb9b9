import type { IncomingMessage, ServerResponse } from 'node:http'

/** One request of a caller and the answer to it. */
export interface Exchange {
  /** Names the request in logs, answers and at the endpoint. */
  readonly requestId: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Aborts when the caller goes away. */
  readonly callerGone: AbortSignal
  /** Monotonic time at which the request's head arrived, in milliseconds. */
  readonly startedAt: number
  /** What the log line of the request tells; handlers add to it. */
  readonly fields: Record<string, unknown>
}
