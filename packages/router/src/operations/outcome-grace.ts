/** How long a call may go on past its caller's deadline, so that its outcome becomes known, in milliseconds. */
export const OUTCOME_GRACE_MS = 1_000
