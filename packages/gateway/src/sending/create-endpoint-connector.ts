import { Socket } from 'node:net'
import { buildConnector } from 'undici'
import { ResponseByteLimit } from './response-byte-limit.js'

/** Error code that replaces `ECONNRESET` when an endpoint resets its connection. */
const RESET_BY_ENDPOINT = 'RESET_BY_ENDPOINT'
/** Error code of a connection that is closed because a response on it does not end. */
const RESPONSE_TOO_LONG = 'RESPONSE_TOO_LONG'

/**
 * Creates a connector for endpoints, whose sockets differ from plain ones in two ways.
 *
 * They never report a connection reset as the regular end of a response without a length. The HTTP client treats
 * `ECONNRESET` as such an end, therefore the error gets a different code. If a reset directly follows the peer's FIN, the only sign
 * of it is that the socket no longer has a remote address; the end of the stream is then replaced by the error.
 *
 * They are closed when an endpoint sends more than a response can have.
 * @param timeoutMs timeout for establishing a connection, in milliseconds
 */
export function createEndpointConnector (timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, callback) => connect(options, (...result) => {
    const socket = result[1]
    if (socket instanceof Socket) watch(socket)
    callback(...result)
  })
}

function watch (socket: Socket): void {
  const limit = new ResponseByteLimit()
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = RESET_BY_ENDPOINT
  })
  socket.write = function (...parameters: unknown[]): boolean {
    limit.reset()
    return Socket.prototype.write.apply(socket, parameters as Parameters<Socket['write']>)
  }
  socket.push = function (chunk: unknown, encoding?: BufferEncoding): boolean {
    // The first read of the remote address, which happens here, queries the system; a connection that was reset has none.
    if (chunk === null && socket.remoteAddress === undefined) return fail(socket, 'the endpoint reset the connection', RESET_BY_ENDPOINT)
    if (chunk instanceof Buffer && limit.exceedsWith(chunk)) return fail(socket, 'the response does not end', RESPONSE_TOO_LONG)
    return Socket.prototype.push.call(socket, chunk, encoding)
  }
}

function fail (socket: Socket, message: string, code: string): false {
  socket.destroy(Object.assign(new Error(message), { code }))
  return false
}
