/** Attributes of a request that determine its admission. */
export interface AdmissionRequest {
  readonly workspace: string
  /** Scheduling priority, 0 to 9; higher values are admitted first. */
  readonly priority: number
  /** Weight in fair queueing against other workspaces of the same priority; 0 is treated as 1. */
  readonly weight: number
  /** Load that the request adds, in requests of mean size. */
  readonly load: number
  /** Whether the request's context is cached at the endpoint. */
  readonly hasContext: boolean
  /** Time remaining until the deadline, by which the first byte of the response must arrive, in milliseconds. */
  readonly remainingMs: number
}
