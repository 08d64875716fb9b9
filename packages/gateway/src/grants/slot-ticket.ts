/** A request for a slot in progress. */
export interface SlotTicket {
  /** Withdraws the request. A grant that is under way to the listener is released by the listener's side. */
  readonly cancel: () => void
}
