/** A change in a topic of the store: a key with its decoded value, or without one where it was removed. */
export interface TopicChange<Value> {
  /** Key that changed. */
  readonly key: string
  /** New value; undefined if the key was removed or its value names nothing usable. */
  readonly value: Value | undefined
}
