import type { Server } from 'node:net'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Starts listening on an address.
 * @param server the server that listens
 * @param address IP address and port; port 0 selects a free port
 * @returns the address with the actual port
 * @throws {MimosarockError} ADDRESS_IN_USE
 */
export async function listen (server: Server, address: string): Promise<string> {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon)
  const port = Number(address.slice(colon + 1))
  await new Promise<void>((resolve, reject) => {
    server.once('error', (error) => {
      reject(new MimosarockError(ResultCode.ADDRESS_IN_USE, `cannot listen on ${address}: ${error.message}`, { field: address, cause: error }))
    })
    server.listen(port, host.replace(/^\[|\]$/g, ''), resolve)
  })
  const actualAddress = server.address()
  return typeof actualAddress === 'object' && actualAddress !== null ? `${host}:${actualAddress.port}` : address
}
