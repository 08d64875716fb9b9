import type { ServerResponse } from 'node:http'
import type { HeldConnection } from '../memory/held-connection.js'
import type { ProcessStalls } from './process-stalls.js'

/** Options of a {@link ResponseRelay}. */
export interface ResponseRelayOptions {
  /** Response to the caller. */
  readonly response: ServerResponse
  /** Whether a successful response is a stream, which is forwarded as it arrives instead of being buffered. */
  readonly isStream: boolean
  /** Bounds what is held of the responses of all connections: unsent bytes and unfinished events. */
  readonly memory: Pick<HeldConnection, 'recordWritten' | 'maximumUnsentBytes' | 'holdEvent'>
  /** Returns the time of a monotonic clock, in milliseconds. */
  readonly now: () => number
  /** Tells whether the process stood still, and read nothing. */
  readonly stalls: Pick<ProcessStalls, 'hasStalledSince'>
  /** Returns whether to send `Connection: close` to the caller. */
  readonly closesConnection: () => boolean
  /** Called when the response head is written to the caller. */
  readonly onStart: () => void
}
