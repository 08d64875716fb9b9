import type { ServerResponse } from 'node:http'
import { once } from 'node:events'

/**
 * Writes a body to a response with back-pressure.
 * @param response its head has been written
 * @param body the bytes
 * @param drainTimeoutMs bound on the wait for a slow reader, in milliseconds
 * @throws {Error} if the reader is gone or too slow; the response is then destroyed
 */
export async function writeAnswer (response: ServerResponse, body: AsyncIterable<Uint8Array>, drainTimeoutMs: number): Promise<void> {
  try {
    for await (const chunk of body) {
      if (response.destroyed) throw new Error('the reader is gone')
      if (response.write(chunk)) continue
      await once(response, 'drain', { signal: AbortSignal.timeout(drainTimeoutMs) })
    }
    response.end()
  } catch (error) {
    response.destroy()
    throw error
  }
}
