import { Socket } from 'node:net'
import { ResponseLimit } from './response-limit.js'
import type { ResponseLimits } from './response-limits.js'
import { RESPONSE_TOO_LONG } from './response-too-long.js'

/** Part of each request line; a body that is written to the connection has it only as the head of a request. */
const REQUEST_LINE = / HTTP\/1\.1\r\n/

/**
 * Lets a connection of an HTTP client be closed when the server sends more than a response can have, before the client parses or keeps it.
 * @param socket the connection, on which one request follows another
 * @param limits what the server may send in response to each request
 */
export function limitResponses (socket: Socket, limits: ResponseLimits): void {
  const limit = new ResponseLimit(limits)
  const push = socket.push.bind(socket)
  socket.write = function (...parameters: unknown[]): boolean {
    if (isRequestHead(parameters[0])) limit.reset()
    return Socket.prototype.write.apply(socket, parameters as Parameters<Socket['write']>)
  }
  let isExceeded = false
  socket.push = function (chunk: unknown, encoding?: BufferEncoding): boolean {
    if (isExceeded) return false
    if (!(chunk instanceof Buffer)) return push(chunk, encoding)
    const accepted = limit.acceptedBytes(chunk)
    if (accepted === chunk.length) return push(chunk)
    isExceeded = true
    // A head that was complete tells the caller that the server has answered.
    if (accepted > 0) push(chunk.subarray(0, accepted))
    setImmediate(() => socket.destroy(Object.assign(new Error('the response does not end'), { code: RESPONSE_TOO_LONG })))
    return false
  }
}

function isRequestHead (data: unknown): boolean {
  // The HTTP client writes heads as text, and bodies as bytes or as text that is no head.
  return typeof data === 'string' && REQUEST_LINE.test(data)
}
