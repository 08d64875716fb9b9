import { once } from 'node:events'
import type { Server } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/** Backlog of connections to be accepted; larger than what a burst opens within one iteration of the event loop. */
const BACKLOG = 1_024

/**
 * Starts a server at an address. Resolves when it listens.
 * @param server server that does not listen yet
 * @param address address to listen on, host:port
 * @throws MimosarockError if listening at the address fails
 */
export async function listenAt (server: Server, address: string): Promise<void> {
  const colon = address.lastIndexOf(':')
  server.listen({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), backlog: BACKLOG })
  try {
    await once(server, 'listening')
  } catch (error) {
    throw new MimosarockError(ResultCode.ADDRESS_IN_USE, `cannot listen on ${address}`, { cause: error, field: address })
  }
}
