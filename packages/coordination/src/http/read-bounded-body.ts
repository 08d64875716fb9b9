import { RESPONSE_TOO_LONG } from './response-too-long.js'

/**
 * Reads a body into memory. A longer one is closed as soon as that is known.
 * @param body the body
 * @param maximumBytes maximum length, in bytes
 * @throws Error with the code RESPONSE_TOO_LONG if the body is longer; what reading it throws
 */
export async function readBoundedBody (body: AsyncIterable<Uint8Array>, maximumBytes: number): Promise<Buffer> {
  const chunks: Uint8Array[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += chunk.length
    if (bytes > maximumBytes) throw Object.assign(new Error(`the body is longer than ${maximumBytes} bytes`), { code: RESPONSE_TOO_LONG })
    chunks.push(chunk)
  }
  return Buffer.concat(chunks, bytes)
}
