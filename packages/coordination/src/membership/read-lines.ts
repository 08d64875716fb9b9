import type { Socket } from 'node:net'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { LineSplitter } from '../http/line-splitter.js'

/**
 * Yields the lines received on a socket until the other end closes it.
 * @param socket source of UTF-8 text
 * @param maximumBytes maximum length of a line, in bytes
 * @throws {MimosarockError} PEER_PROTOCOL if a line exceeds the maximum length
 */
export async function * readLines (socket: Socket, maximumBytes: number): AsyncGenerator<string> {
  const splitter = new LineSplitter(maximumBytes)
  for await (const part of socket as AsyncIterable<Buffer>) {
    const lines = splitter.push(part)
    if (lines === undefined) throw new MimosarockError(ResultCode.PEER_PROTOCOL, `line exceeds ${maximumBytes} bytes`)
    yield * lines
  }
}
