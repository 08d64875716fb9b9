/** Permission to run one request at an endpoint. */
export interface AdmissionTicket {
  /** Notes that the first byte of the answer arrived; only the first call counts. */
  noteFirstByte (): void
  /** Gives the load back; only the first call counts. */
  release (): void
}
