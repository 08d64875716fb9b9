/** Intervals and timeouts shared by a home router and the routers that request grants from it. */
export const LimitTimes = {
  /** Interval between renewals of the slots that a router holds. */
  RENEW_INTERVAL_MS: 2_000,
  /** Duration of a slot lease; the slots of a router that does not renew them in this time are free again. */
  SLOT_LEASE_MS: 7_000,
  /** Time after which granted tokens expire. */
  TOKEN_LIFETIME_MS: 1_000,
  /** Timeout of a request to the home router; the workspace's callers wait for the response. */
  CALL_TIMEOUT_MS: 300,
  /** Backoff after a refusal, before the next request to the home router; also the minimum retry-after of callers. */
  REFUSAL_BACKOFF_MS: 100,
  /** Delay before scarce free slots are returned; batches the slots that become free in the meantime. */
  RETURN_DELAY_MS: 100
} as const
