/** Options of one read from the log service. */
export interface ReadOptions {
  /** Maximum number of records to return. */
  limit?: number
  /** Time that the service may wait for a record before it responds, in milliseconds; 0 to respond immediately. */
  waitMs?: number
  /** Aborts the request. */
  signal?: AbortSignal
}
