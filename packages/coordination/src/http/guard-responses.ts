import { Socket } from 'node:net'
import { ResponseLimit } from './response-limit.js'
import type { ResponseLimits } from './response-limits.js'
import { RESPONSE_DURING_REQUEST } from './response-during-request.js'
import { RESET_BY_SERVER } from './reset-by-server.js'
import { WrittenRequest } from './written-request.js'

/**
 * Lets a connection of an HTTP client fail where the client would take what it receives for a response, although it is none, or not a whole one:
 * - when the server sends more than a response can have, or no HTTP, before the client parses or keeps it;
 * - when the connection is reset, or ends before the request was written to its end. The client takes both for the end of a response without a length.
 * @param socket the connection, on which one request follows another
 * @param limits what the server may send in response to each request
 */
export function guardResponses (socket: Socket, limits: ResponseLimits): void {
  const limit = new ResponseLimit(limits)
  const request = new WrittenRequest()
  const push = socket.push.bind(socket)
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = RESET_BY_SERVER
  })
  socket.write = function (...parameters: unknown[]): boolean {
    if (request.record(parameters[0])) limit.reset()
    return Socket.prototype.write.apply(socket, parameters as Parameters<Socket['write']>)
  }
  socket.push = function (data: unknown, encoding?: BufferEncoding): boolean {
    if (limit.violation !== undefined) return false
    if (data instanceof Buffer) return pushAccepted(socket, push, limit, data)
    const problem = data === null ? endProblem(socket, request) : undefined
    if (problem === undefined) return push(data, encoding)
    socket.destroy(problem)
    return false
  }
}

// Hands the bytes to the client that belong to accepted parts of a response.
function pushAccepted (socket: Socket, push: Socket['push'], limit: ResponseLimit, bytes: Buffer): boolean {
  const accepted = limit.acceptedBytes(bytes)
  const code = limit.violation
  if (code === undefined) return push(bytes)
  // A head that was complete tells the caller that the server has answered.
  if (accepted > 0) push(bytes.subarray(0, accepted))
  setImmediate(() => socket.destroy(Object.assign(new Error('the response is no HTTP or does not end'), { code })))
  return false
}

// Returns why the end of a connection can't be that of a response; undefined if it can.
function endProblem (socket: Socket, request: WrittenRequest): Error | undefined {
  if (!request.isComplete || socket.writableLength > 0) {
    return Object.assign(new Error('the server closed the connection during the request'), { code: RESPONSE_DURING_REQUEST })
  }
  // If a reset directly follows the end, the only sign of it is that the socket has no remote address. The first read of it, which happens here, asks the system.
  if (socket.remoteAddress !== undefined) return undefined
  return Object.assign(new Error('the server reset the connection'), { code: RESET_BY_SERVER })
}
