/** One complete server-sent event. */
export interface StreamEvent {
  /** The event's id; undefined if it has none. */
  readonly id: number | undefined
  /** Bytes of the event, including the empty line that ends it. */
  readonly bytes: Buffer
}
