/** A call to the store that is about to be sent. */
export interface StoreCallNote {
  /** Name of the topic. */
  readonly topic: string
  /** What is asked: `newest` values, `changes` or `append`. */
  readonly operation: 'newest' | 'changes' | 'append'
}
