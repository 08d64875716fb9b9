/** Receives the displacements of chats that were placed elsewhere than at the first endpoint of their order. */
export interface DisplacementListener {
  /**
   * Records a displaced chat.
   * @param pool name of the pool
   * @param affinityKey the chat's key in hexadecimal
   * @param firstEndpoint first endpoint in the rendezvous order of the key
   * @param endpoint endpoint that answered the chat's call
   */
  displaced (pool: string, affinityKey: string, firstEndpoint: string, endpoint: string): void
}
