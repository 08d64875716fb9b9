/** Maximum length of a body that is received only to keep its connection, in bytes. */
const MAXIMUM_DISCARDED_BYTES = 65_536

/**
 * Receives a body that nobody needs, so that its connection can be used again; a long one is closed instead.
 * @param body the body
 */
export async function discardBody (body: AsyncIterable<Uint8Array>): Promise<void> {
  let bytes = 0
  for await (const chunk of body) {
    bytes += chunk.length
    if (bytes > MAXIMUM_DISCARDED_BYTES) return
  }
}
