import type { EndpointTable } from '../membership/endpoint-table.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Options of {@link AnswerSums}. */
export interface AnswerSumsOptions {
  /** Registered endpoints. */
  readonly endpoints: Pick<EndpointTable, 'find' | 'ready'>
  /**
   * Returns the share of an endpoint in the answers of its service, relative to other endpoints.
   * @param endpoint the endpoint
   */
  readonly weightOf: (endpoint: EndpointEntry) => number
}
