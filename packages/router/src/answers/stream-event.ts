/** One whole server-sent event. */
export interface StreamEvent {
  /** The event's id; undefined if it has none. */
  readonly id: number | undefined
  /** The event's bytes, with the empty line that ends it. */
  readonly bytes: Buffer
}
