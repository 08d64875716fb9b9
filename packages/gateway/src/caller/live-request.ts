/** A request of a caller that has not been answered. */
export interface LiveRequest {
  /** Adapts the request to the time at which a stopping router must have answered it: refuses it if it waits and cannot end in time, or ends it earlier. */
  limitToStop: () => void
}
