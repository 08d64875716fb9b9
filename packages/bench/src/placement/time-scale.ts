/**
 * Factor by which the bench runs faster than the simulated fleet: response times, pauses, outages, lags and the
 * interval between two samples are divided by it.
 */
export const TIME_SCALE = 2
