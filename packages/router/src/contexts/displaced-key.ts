/**
 * Returns the key of a chat in the directory of displaced chats, which a router shares between all pools.
 * @param pool name of the pool
 * @param affinityKey affinity key of the chat, of fixed length
 */
export function displacedKey (pool: string, affinityKey: string): string {
  return `${affinityKey}${pool}`
}
