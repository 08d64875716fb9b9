/** A request for a slot in progress. */
export interface SlotTicket {
  /** Withdraws the request. A grant that is in transit to the listener is released on the listener's side. */
  readonly cancel: () => void
}
