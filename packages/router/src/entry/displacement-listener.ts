/** Receives the displacements of chats that were placed at an endpoint other than their primary one. */
export interface DisplacementListener {
  /**
   * Records a displaced chat.
   * @param pool name of the pool
   * @param affinityKey affinity key of the chat in hexadecimal
   * @param primaryEndpoint primary endpoint of the chat: of the endpoints that accept new calls, the first in the
   * rendezvous order of its key
   * @param endpoint endpoint that answered the chat's call
   */
  recordDisplacement (pool: string, affinityKey: string, primaryEndpoint: string, endpoint: string): void
}
