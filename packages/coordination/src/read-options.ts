/** Bounds on one read. */
export interface ReadOptions {
  /** Most records to return. */
  limit?: number
  /** How long the service may hold the call until a record is there, in milliseconds; 0 answers at once. */
  waitMs?: number
  /** Ends the call. */
  signal?: AbortSignal
}
