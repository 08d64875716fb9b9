/** Fractions of a request's time that it may spend queued; the rest is for the endpoint and the network. */
export const WaitFractions = {
  /** Of the latency objective. */
  OF_OBJECTIVE: 0.5,
  /** Of the time until the deadline. */
  OF_TIME_LEFT: 0.25
} as const
