/** An answer that was read to its end, or up to the bound of what is held. */
export interface CollectedAnswer {
  /** The whole body; its tail still comes from the endpoint if it is larger than the bound. */
  readonly body: AsyncIterable<Uint8Array>
  /** Why the answer broke off before its end and before the bound. */
  readonly error: unknown
}
