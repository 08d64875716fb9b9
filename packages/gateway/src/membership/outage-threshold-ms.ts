/**
 * Time since the endpoints were last verified above which the whole fleet must have lost the store, in milliseconds. A change of the
 * reader takes less time.
 */
export const OUTAGE_THRESHOLD_MS = 2_200
