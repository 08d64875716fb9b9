import { Socket } from 'node:net'
import { buildConnector } from 'undici'

/** Error code that replaces `ECONNRESET` when an endpoint resets its connection. */
const RESET_BY_ENDPOINT = 'RESET_BY_ENDPOINT'

/**
 * Creates a connector whose sockets never report a connection reset as the regular end of a response without a length.
 * The HTTP client treats `ECONNRESET` as such an end, therefore the error gets a different code. If a reset directly
 * follows the peer's FIN, the only sign of it is that the socket no longer has a remote address; the end of
 * the stream is then replaced by the error.
 * @param timeoutMs timeout for establishing a connection, in milliseconds
 */
export function createResetDetectingConnector (timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, callback) => connect(options, (...result) => {
    const socket = result[1]
    if (socket instanceof Socket) detectResets(socket)
    callback(...result)
  })
}

function detectResets (socket: Socket): void {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = RESET_BY_ENDPOINT
  })
  socket.push = function (chunk: unknown, encoding?: BufferEncoding): boolean {
    // The first read of the remote address, which happens here, queries the system; a connection that was reset has none.
    if (chunk !== null || socket.remoteAddress !== undefined) return Socket.prototype.push.call(socket, chunk, encoding)
    socket.destroy(Object.assign(new Error('the endpoint reset the connection'), { code: RESET_BY_ENDPOINT }))
    return false
  }
}
