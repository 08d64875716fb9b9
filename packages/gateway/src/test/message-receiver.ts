/** Who waits for a message of a simulated network. */
export interface MessageReceiver {
  /** Ends the message. */
  readonly signal: AbortSignal
  /** Called with the part of the message that has arrived, from 0 to 1. */
  recordProgress (receivedPart: number): void
}
