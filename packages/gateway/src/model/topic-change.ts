/** A change in a topic of the store: a key and its decoded value, or no value if the key was removed. */
export interface TopicChange<Value> {
  /** Key that changed. */
  readonly key: string
  /** New value; undefined if the key was removed or its value is unusable. */
  readonly value: Value | undefined
}
