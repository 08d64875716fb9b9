/** Times from the issuing of a permit to its use, in milliseconds. The bound on the requests to cold endpoints counts with their sum. */
export const PermitTimes = {
  /** Time whose permits a pool holds at most, beside one that is growing; limits the burst after a time in which nobody wanted any. */
  BURST_MS: 500,
  /** Time for which a router can issue permits that it has received. */
  DEPOSIT_LIFETIME_MS: 1_000,
  /** Time for which a permit can be used; what one router does not use is issued anew to others. */
  LIFETIME_MS: 750
} as const
