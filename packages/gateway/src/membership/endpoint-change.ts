import type { EndpointEntry } from '../model/endpoint-entry.js'

/** A change of one entry in the endpoint table. */
export interface EndpointChange {
  /** Id of the endpoint. */
  readonly id: string
  /** The new entry; undefined if the endpoint was removed. */
  readonly entry: EndpointEntry | undefined
}
