import type { IncomingMessage, ServerResponse } from 'node:http'

/** One request of a caller and its response. */
export interface Exchange {
  /** Identifies the request in logs, in responses and at the endpoint. */
  readonly requestId: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Aborted when the caller disconnects before the response is complete. */
  readonly callerSignal: AbortSignal
  /** Monotonic time at which the request head was received, in milliseconds. */
  readonly startedAt: number
  /** Additional fields of the request's log line; handlers add to them. */
  readonly fields: Record<string, unknown>
}
