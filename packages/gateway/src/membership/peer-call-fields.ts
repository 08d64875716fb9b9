import { PeerCallError } from './peer-call-error.js'

/**
 * Returns the log fields of a failed call to another router: its duration, and the bytes that had arrived of those
 * expected.
 * @param error error of the call
 * @returns no fields for other errors
 */
export function peerCallFields (error: unknown): Readonly<Record<string, number | undefined>> {
  if (!(error instanceof PeerCallError)) return {}
  return { elapsed_ms: Math.round(error.elapsedMs), received_bytes: error.receivedBytes, expected_bytes: error.expectedBytes }
}
