import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Why and for how long an endpoint is left out. After that time, it is on trial until it is readmitted or ejected again. */
export interface Ejection {
  /** The endpoint, as it was registered then. */
  readonly endpoint: EndpointEntry
  /** Time until which it gets no requests. */
  readonly until: number
  /** Number of its ejections so far, this one included. */
  readonly times: number
}
