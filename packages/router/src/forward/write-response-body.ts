import type { ServerResponse } from 'node:http'
import { once } from 'node:events'

/**
 * Writes a body to a response with back pressure and ends the response.
 * @param response its head must have been written
 * @param body read only as fast as the reader accepts it
 * @param drainTimeoutMs timeout of a write to a slow reader, in milliseconds
 * @throws {Error} if the body fails, or the reader has disconnected or is too slow; the response is then destroyed
 */
export async function writeResponseBody (response: ServerResponse, body: AsyncIterable<Uint8Array>, drainTimeoutMs: number): Promise<void> {
  try {
    for await (const chunk of body) {
      if (response.destroyed) throw new Error('the reader has disconnected')
      if (response.write(chunk)) continue
      await once(response, 'drain', { signal: AbortSignal.timeout(drainTimeoutMs) })
    }
    response.end()
  } catch (error) {
    response.destroy()
    throw error
  }
}
