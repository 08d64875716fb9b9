/**
 * Name of a chat in the directory of displaced chats, which serves all pools of a router.
 * @param pool name of the pool
 * @param affinityKey the chat's key
 */
export function displacedKey (pool: string, affinityKey: string): string {
  return `${affinityKey}${pool}`
}
