import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { EndpointTable } from '../membership/endpoint-table.js'
import { notRunError } from './not-run-error.js'

/** Delay after which callers retry, in milliseconds. An evacuation lasts long; its end reaches all routers within about a second. */
const RETRY_AFTER_MS = 1_000

/**
 * Requires that not all endpoints of a service are in evacuated availability zones.
 * @param endpoints registered endpoints
 * @param service name of the service of a request that has not run
 * @throws MimosarockError ENDPOINTS_EVACUATED if they are; the request has not run
 */
export function requireNotEvacuated (endpoints: EndpointTable, service: string): void {
  if (endpoints.ready(service).length > 0 || endpoints.evacuated(service).length === 0) return
  throw notRunError(ResultCode.ENDPOINTS_EVACUATED, 'all endpoints of the service are in evacuated zones', RETRY_AFTER_MS)
}
