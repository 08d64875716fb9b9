import type { Socket } from 'node:net'
import { buildConnector } from 'undici'
import type { TrafficCounter } from './membership/traffic-counter.js'

/**
 * A connector for undici whose sockets count as control traffic.
 * @param timeoutMs bound on opening a connection, in milliseconds
 * @param traffic counts what is written; nothing is counted if it is left out
 */
export function countedConnector (timeoutMs: number, traffic?: TrafficCounter): buildConnector.connector {
  const connector = buildConnector({ timeout: timeoutMs })
  return (options, callback) => connector(options, (...result) => {
    // A failed connect gives undefined, although its type says null.
    const socket = result[1] as Socket | null | undefined
    if (socket !== null && socket !== undefined) traffic?.watch(socket)
    callback(...result)
  })
}
