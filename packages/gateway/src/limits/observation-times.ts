/** Times in the exchange of what routers have observed of endpoints, in milliseconds. */
export const ObservationTimes = {
  /** Time for which an own observation counts more than what the followed router says; that router knows of it within this time. */
  OWN_PRECEDENCE_MS: 1_500,
  /** Time for which the end of what was observed is remembered, so that all routers hear of it. */
  ENDED_RETENTION_MS: 5_000
} as const
