/** What admission needs to know of a request. */
export interface AdmissionRequest {
  readonly workspace: string
  /** Higher runs first, 0 to 9. */
  readonly priority: number
  /** Share of the queue relative to other workspaces of the same priority; 0 counts as 1. */
  readonly weight: number
  /** Load that it brings, in requests of mean size. */
  readonly load: number
  /** Whether its context is at the endpoint. */
  readonly hasContext: boolean
  /** Time left until its first byte must be there, in milliseconds. */
  readonly remainingMs: number
}
