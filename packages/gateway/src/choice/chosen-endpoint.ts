import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { ChoiceReason } from './choice-reason.js'

/** An endpoint and why it was chosen. */
export interface ChosenEndpoint {
  /** The endpoint. */
  readonly endpoint: EndpointEntry
  /** Endpoint that holds the prompt's shared context, to be copied from; undefined if the chosen one holds it. */
  readonly contextHolder: EndpointEntry | undefined
  /** What decided: `holder`, `home` or `least-loaded`. */
  readonly reason: ChoiceReason
  /** Whether it was chosen as the first of the key's order, which any router finds without being told. */
  readonly isFirstHome: boolean
  /** Requests in flight at the endpoint from the whole fleet, as far as known. */
  readonly load: number
  /** Load above which the endpoint is passed over. */
  readonly bound: number
}
