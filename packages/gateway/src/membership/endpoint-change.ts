import type { EndpointEntry } from '../model/endpoint-entry.js'

/** A change of the endpoints. */
export interface EndpointChange {
  /** Identity of the endpoint. */
  readonly id: string
  /** What it is now; undefined if it is gone. */
  readonly entry: EndpointEntry | undefined
}
