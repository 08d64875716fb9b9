/** Hears where chats landed that did not land at the first endpoint of their order. */
export interface DisplacementListener {
  /**
   * Notes a displaced chat.
   * @param pool name of the pool
   * @param affinityKey the chat's key in hexadecimal
   * @param firstEndpoint first endpoint of the key's order
   * @param endpoint endpoint that took the chat
   */
  displaced (pool: string, affinityKey: string, firstEndpoint: string, endpoint: string): void
}
