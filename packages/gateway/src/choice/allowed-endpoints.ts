import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { MayRunAt } from './may-run-at.js'

/**
 * Returns the endpoints at which a request may run.
 * @param endpoints endpoints to choose from
 * @param mayRunAt returns whether it may run at an endpoint; undefined if it may run at all of them
 */
export function allowedEndpoints (endpoints: readonly EndpointEntry[], mayRunAt: MayRunAt | undefined): readonly EndpointEntry[] {
  return mayRunAt === undefined ? endpoints : endpoints.filter(mayRunAt)
}
