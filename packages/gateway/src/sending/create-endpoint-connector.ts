import type { Socket } from 'node:net'
import { limitedConnector } from '@mimosarock/coordination/http/limited-connector.js'
import type { ResponseLimits } from '@mimosarock/coordination/http/response-limits.js'
import type { buildConnector } from 'undici'

/** Error code that replaces `ECONNRESET` when an endpoint resets its connection. */
const RESET_BY_ENDPOINT = 'RESET_BY_ENDPOINT'

/**
 * Creates a connector for endpoints, whose sockets differ from plain ones in two ways.
 *
 * They never report a connection reset as the regular end of a response without a length. The HTTP client treats
 * `ECONNRESET` as such an end, therefore the error gets a different code. If a reset directly follows the peer's FIN, the only sign
 * of it is that the socket no longer has a remote address; the end of the stream is then replaced by the error.
 *
 * They are closed when an endpoint sends more than a response can have.
 * @param timeoutMs timeout for establishing a connection, in milliseconds
 * @param limits what an endpoint may send in response to each request
 */
export function createEndpointConnector (timeoutMs: number, limits: ResponseLimits): buildConnector.connector {
  return limitedConnector(timeoutMs, limits, reportResets)
}

function reportResets (socket: Socket): void {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = RESET_BY_ENDPOINT
  })
  const push = socket.push.bind(socket)
  socket.push = function (chunk: unknown, encoding?: BufferEncoding): boolean {
    // The first read of the remote address, which happens here, queries the system; a connection that was reset has none.
    if (chunk !== null || socket.remoteAddress !== undefined) return push(chunk, encoding)
    socket.destroy(Object.assign(new Error('the endpoint reset the connection'), { code: RESET_BY_ENDPOINT }))
    return false
  }
}
