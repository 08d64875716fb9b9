import type { CollectedAnswer } from './collected-answer.js'

/**
 * Reads an answer whole, so that nothing of it has been passed on if it breaks off. Beyond the bound the rest
 * is passed through as it comes.
 * @param body the answer's bytes
 * @param maximumBytes most bytes held
 */
export async function collectAnswer (body: AsyncIterable<Uint8Array>, maximumBytes: number): Promise<CollectedAnswer> {
  const held: Uint8Array[] = []
  const iterator = body[Symbol.asyncIterator]()
  let bytes = 0
  try {
    while (bytes <= maximumBytes) {
      const next = await iterator.next()
      if (next.done === true) return { body: replay(held), error: undefined }
      held.push(next.value)
      bytes += next.value.length
    }
  } catch (error) {
    return { body: replay(held), error }
  }
  return { body: replay(held, iterator), error: undefined }
}

async function * replay (held: readonly Uint8Array[], rest?: AsyncIterator<Uint8Array>): AsyncGenerator<Uint8Array> {
  yield * held
  if (rest === undefined) return
  try {
    for (let next = await rest.next(); next.done !== true; next = await rest.next()) yield next.value
  } finally {
    await rest.return?.()
  }
}
