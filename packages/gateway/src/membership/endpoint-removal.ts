/** Removal of an endpoint: its incarnation, and the newest registration of it that was known. */
export interface EndpointRemoval {
  /** Id of the endpoint. */
  readonly id: string
  /** Start time of the incarnation in Unix milliseconds. */
  readonly startedAt: number
  /** Revision of the newest registration known. */
  readonly revision: number
}
