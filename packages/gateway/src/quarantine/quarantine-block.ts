/** Why a request must not be sent to endpoints now. */
export interface QuarantineBlock {
  /** Id of the prompt part or the request that is quarantined. */
  readonly suspectId: string
  /** Milliseconds until it may be tried. */
  readonly remainingMs: number
}
