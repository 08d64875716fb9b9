import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { ChoiceReason } from './choice-reason.js'

/** Result of an endpoint selection: the endpoint and the data on which the decision was based. */
export interface ChosenEndpoint {
  /** Endpoint to which the request is sent. */
  readonly endpoint: EndpointEntry
  /** Endpoint from which the cached context can be copied; undefined if the chosen endpoint holds it or no endpoint does. */
  readonly contextHolder: EndpointEntry | undefined
  /** Reason for the decision. */
  readonly reason: ChoiceReason
  /**
   * Whether the endpoint was chosen as the primary of the key, that is, the first one of its rendezvous order, which every
   * router computes by itself. False if it was chosen because it holds the context.
   */
  readonly isChosenAsPrimary: boolean
  /** Requests in flight at the endpoint from the whole fleet, by the latest load reports. */
  readonly load: number
  /** Load bound, in requests in flight: holders and endpoints of the rendezvous order that have reached it are skipped. */
  readonly bound: number
}
