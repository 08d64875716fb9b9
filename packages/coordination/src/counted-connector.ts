import type { Socket } from 'node:net'
import { buildConnector } from 'undici'
import type { TrafficCounter } from './membership/traffic-counter.js'

/**
 * Creates a connector for undici; the bytes written to its sockets are counted as control traffic.
 * @param timeoutMs connect timeout in milliseconds
 * @param traffic counts the bytes written to the sockets; if omitted, nothing is counted
 */
export function countedConnector (timeoutMs: number, traffic?: TrafficCounter): buildConnector.connector {
  const connector = buildConnector({ timeout: timeoutMs })
  return (options, callback) => connector(options, (...result) => {
    // After a failed connect the socket is undefined, although its declared type is null.
    const socket = result[1] as Socket | null | undefined
    if (socket !== null && socket !== undefined) traffic?.watch(socket)
    callback(...result)
  })
}
