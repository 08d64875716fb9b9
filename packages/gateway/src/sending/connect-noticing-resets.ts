import { Socket } from 'node:net'
import { buildConnector } from 'undici'

/** Code of the error when an endpoint resets its connection. */
const RESET_BY_ENDPOINT = 'RESET_BY_ENDPOINT'

/**
 * Connects so that a reset is never taken for the end of an answer without a length. The HTTP client treats
 * `ECONNRESET` as such an end, so the error gets another code. A reset right behind the peer's end of transmission
 * shows only in that the socket has no peer any more; then the end is replaced by the error.
 * @param timeoutMs longest time to connect, in milliseconds
 */
export function connectNoticingResets (timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, callback) => connect(options, (...result) => {
    const socket = result[1]
    if (socket instanceof Socket) noticeResets(socket)
    callback(...result)
  })
}

function noticeResets (socket: Socket): void {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = RESET_BY_ENDPOINT
  })
  socket.push = function (chunk: unknown, encoding?: BufferEncoding): boolean {
    // The peer's address is asked of the system here for the first time; a connection that was reset has none.
    if (chunk !== null || socket.remoteAddress !== undefined) return Socket.prototype.push.call(socket, chunk, encoding)
    socket.destroy(Object.assign(new Error('the endpoint reset the connection'), { code: RESET_BY_ENDPOINT }))
    return false
  }
}
