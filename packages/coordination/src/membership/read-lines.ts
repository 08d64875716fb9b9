import type { Socket } from 'node:net'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const NEWLINE = 10

/**
 * Yields the lines received on a socket until the other end closes it.
 * @param socket source of UTF-8 text
 * @param maximumBytes maximum length of a line, in bytes
 * @throws {MimosarockError} PEER_PROTOCOL if a line exceeds the maximum length
 */
export async function * readLines (socket: Socket, maximumBytes: number): AsyncGenerator<string> {
  let parts: Buffer[] = []
  let bytes = 0
  for await (const chunk of socket as AsyncIterable<Buffer>) {
    let start = 0
    for (let end = chunk.indexOf(NEWLINE); end >= 0; end = chunk.indexOf(NEWLINE, start)) {
      parts.push(chunk.subarray(start, end))
      yield Buffer.concat(parts).toString('utf8')
      parts = []
      bytes = 0
      start = end + 1
    }
    parts.push(chunk.subarray(start))
    bytes += chunk.length - start
    if (bytes > maximumBytes) throw new MimosarockError(ResultCode.PEER_PROTOCOL, `line exceeds ${maximumBytes} bytes`)
  }
}
