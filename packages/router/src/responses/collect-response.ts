import type { CollectedResponse } from './collected-response.js'

/**
 * Buffers a response body up to an upper bound, so that a response that fails within the bound can be discarded before
 * any of it is passed on. Anything beyond the bound is streamed as it arrives.
 * @param body the response body
 * @param maximumBytes number of bytes beyond which buffering stops; the chunk that crosses it is still buffered
 */
export async function collectResponse (body: AsyncIterable<Uint8Array>, maximumBytes: number): Promise<CollectedResponse> {
  const buffered: Uint8Array[] = []
  const iterator = body[Symbol.asyncIterator]()
  let bytes = 0
  try {
    while (bytes <= maximumBytes) {
      const next = await iterator.next()
      if (next.done === true) return { body: replay(buffered), error: undefined }
      buffered.push(next.value)
      bytes += next.value.length
    }
  } catch (error) {
    return { body: replay(buffered), error }
  }
  return { body: replay(buffered, iterator), error: undefined }
}

async function * replay (buffered: readonly Uint8Array[], rest?: AsyncIterator<Uint8Array>): AsyncGenerator<Uint8Array> {
  yield * buffered
  if (rest === undefined) return
  try {
    for (let next = await rest.next(); next.done !== true; next = await rest.next()) yield next.value
  } finally {
    await rest.return?.()
  }
}
