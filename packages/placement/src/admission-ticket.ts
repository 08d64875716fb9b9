/** Permit for one request to run at an endpoint. */
export interface AdmissionTicket {
  /** Records the arrival of the first byte of the response. Idempotent: only the first call has an effect. */
  recordFirstByte (): void
  /** Releases the load that was reserved for the request. Idempotent: only the first call has an effect. */
  release (): void
}
