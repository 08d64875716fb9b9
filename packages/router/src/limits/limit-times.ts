/** Times that both sides of the limits keep to. */
export const LimitTimes = {
  /** Pause between renewals of the slots that a router holds. */
  RENEW_MS: 2_000,
  /** A router that does not renew for so long has lost its slots. */
  SLOT_LEASE_MS: 7_000,
  /** Age at which granted tokens can't be used any more. */
  TOKEN_MS: 1_000,
  /** Bound on a call to the home router; the workspace's callers wait for it. */
  CALL_MS: 300,
  /** Pause after a refusal, or after a call that failed, before the home is asked again. */
  PAUSE_MS: 100,
  /** Time in which free slots that are scarce are gathered before they are returned. */
  RETURN_MS: 100
} as const
