/** Time for which a call may continue past its caller's deadline so that its outcome is recorded, in milliseconds. */
export const OUTCOME_GRACE_MS = 1_000
