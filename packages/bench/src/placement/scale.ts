/**
 * How many times faster the bench runs than what it stands for: answers, pauses, losses, lags and the time between
 * two samples are shorter by this factor.
 */
export const SCALE = 2
