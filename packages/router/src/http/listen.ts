import type { Server } from 'node:net'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Makes a server listen.
 * @param server the server
 * @param address IP number and port; port 0 lets the system pick
 * @returns the address, with the port that the system picked
 * @throws {MimosarockError} ADDRESS_IN_USE
 */
export async function listen (server: Server, address: string): Promise<string> {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon)
  const port = Number(address.slice(colon + 1))
  await new Promise<void>((resolve, reject) => {
    server.once('error', (error) => {
      reject(new MimosarockError(ResultCode.ADDRESS_IN_USE, `can not listen on ${address}: ${error.message}`, { field: address, cause: error }))
    })
    server.listen(port, host.replace(/^\[|\]$/g, ''), resolve)
  })
  const bound = server.address()
  return typeof bound === 'object' && bound !== null ? `${host}:${bound.port}` : address
}
