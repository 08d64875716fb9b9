import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { EndpointRemoval } from './endpoint-removal.js'

/** A change of one entry in the endpoint table. */
export interface EndpointChange {
  /** Id of the endpoint. */
  readonly id: string
  /** The new entry; undefined if the endpoint was removed. */
  readonly entry: EndpointEntry | undefined
  /** What is known of the endpoint that was removed; undefined from an earlier version, and if there is an entry. */
  readonly removal?: EndpointRemoval | undefined
}
