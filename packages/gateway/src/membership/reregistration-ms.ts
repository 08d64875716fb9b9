/** Time after an outage of the store in which live endpoints register again, in milliseconds. */
export const REREGISTRATION_MS = 2_100
