import type { buildConnector } from 'undici'
import { DEFAULT_HEAD_LIMITS } from './http/default-head-limits.js'
import { guardedConnector } from './http/guarded-connector.js'
import type { TrafficCounter } from './membership/traffic-counter.js'

/** Maximum length of a response of the platform's services, with its head. */
const MAXIMUM_RESPONSE_BYTES = 67_108_864

/**
 * Creates a connector for undici. Its connections are closed when a response does not end; the bytes written to its sockets are counted as control traffic.
 * @param timeoutMs connect timeout in milliseconds
 * @param traffic counts the bytes written to the sockets; if omitted, nothing is counted
 */
export function countedConnector (timeoutMs: number, traffic?: TrafficCounter): buildConnector.connector {
  return guardedConnector(timeoutMs, { ...DEFAULT_HEAD_LIMITS, responseBytes: MAXIMUM_RESPONSE_BYTES }, (socket) => traffic?.watch(socket))
}
