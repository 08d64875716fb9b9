/** Why a request must not be sent to endpoints now. */
export interface QuarantineBlock {
  /** Id of the prompt part that is quarantined. */
  readonly partId: string
  /** Milliseconds until a request with the part may be tried. */
  readonly remainingMs: number
}
