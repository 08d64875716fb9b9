import { once } from 'node:events'
import type { Server } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/** Connections that wait to be accepted; above what a burst opens within one turn of the event loop. */
const BACKLOG = 1_024

/**
 * Makes a server listen.
 * @param server to listen with
 * @param address host:port
 * @throws MimosarockError if the address can't be used
 */
export async function listenAt (server: Server, address: string): Promise<void> {
  const colon = address.lastIndexOf(':')
  server.listen({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), backlog: BACKLOG })
  try {
    await once(server, 'listening')
  } catch (error) {
    throw new MimosarockError(ResultCode.ADDRESS_IN_USE, `can't listen at ${address}`, { cause: error, field: address })
  }
}
