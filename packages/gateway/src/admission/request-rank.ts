/** Urgency of a request, by which queued requests are scheduled. */
export interface RequestRank {
  /** Rank of the workspace, or of the route if the workspace has none; 0 is the most urgent. */
  readonly rank: number
  /** Rank of the route, which orders requests of the same rank; 0 is the most urgent. */
  readonly routeRank: number
}
