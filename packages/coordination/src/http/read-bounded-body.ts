import { ByteBuffer } from './byte-buffer.js'
import { RESPONSE_TOO_LONG } from './response-too-long.js'

/**
 * Reads a body into memory. A longer one is closed as soon as that is known.
 * @param body the body
 * @param maximumBytes maximum length, in bytes
 * @param onPart called for each part, with its length and the number of bytes received so far
 * @throws Error with the code RESPONSE_TOO_LONG if the body is longer; what reading it throws
 */
export async function readBoundedBody (
  body: AsyncIterable<Uint8Array>, maximumBytes: number, onPart: (partBytes: number, receivedBytes: number) => void = () => undefined
): Promise<Buffer> {
  const received = new ByteBuffer()
  for await (const part of body) {
    if (received.length + part.length > maximumBytes) {
      throw Object.assign(new Error(`the body is longer than ${maximumBytes} bytes`), { code: RESPONSE_TOO_LONG })
    }
    received.append(part)
    onPart(part.length, received.length)
  }
  return received.take()
}
