import { Socket } from 'node:net'
import { buildConnector } from 'undici'
import { guardResponses } from './guard-responses.js'
import type { ResponseLimits } from './response-limits.js'

/** Called with each connection that is established. */
type ConnectionListener = (socket: Socket) => void

/**
 * Creates a connector for undici whose connections fail when the server sends more than a response can have, or what is no whole response.
 * @param timeoutMs connect timeout, in milliseconds
 * @param limits what the server may send in response to each request
 * @param onConnected called with each connection that is established
 */
export function guardedConnector (timeoutMs: number, limits: ResponseLimits, onConnected: ConnectionListener = () => undefined): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, callback) => connect(options, (...result) => {
    // After a failed connect the socket is undefined, although its declared type is null.
    const socket = result[1] as Socket | null | undefined
    if (socket instanceof Socket) {
      guardResponses(socket, limits)
      onConnected(socket)
    }
    callback(...result)
  })
}
