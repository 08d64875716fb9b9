/**
 * Returns the key of a chat in a router's directory of displaced chats, which contains the chats of all pools.
 * @param pool name of the pool
 * @param affinityKey affinity key of the chat, of fixed length
 */
export function displacedKey (pool: string, affinityKey: string): string {
  return `${affinityKey}${pool}`
}
