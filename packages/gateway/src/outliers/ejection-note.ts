/** An ejected endpoint, in the answer to a sync request. */
export interface EjectionNote {
  /** Id of the endpoint. */
  readonly id: string
  /** Start of its incarnation in Unix milliseconds; 0 if unknown. */
  readonly startedAt: number
  /** Time for which it still gets no requests, in milliseconds; 0 if it is on trial. */
  readonly leftMs: number
  /** Number of its ejections so far, this one included. */
  readonly times: number
}
