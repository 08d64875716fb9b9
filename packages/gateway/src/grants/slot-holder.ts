/** A router, as far as the owner knows it: one connection. Compared by identity. */
export interface SlotHolder {
  /** Name or address, for the log. */
  readonly name: string
}
