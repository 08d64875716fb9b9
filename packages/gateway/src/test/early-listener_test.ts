import { once } from 'node:events'
import { createServer, get } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect, test } from 'vitest'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { EarlyListener } from '@mimosarock/gateway/caller/early-listener.js'

/** Sends a GET request and returns the status of the response. */
function statusOf (port: number): Promise<number | undefined> {
  return new Promise((resolve, reject) => {
    get({ host: '127.0.0.1', port, agent: false }, (response) => {
      response.resume()
      response.on('end', () => resolve(response.statusCode))
    }).on('error', reject)
  })
}

test('connections accepted before and after the handover are served', async () => {
  const listener = new EarlyListener()
  listener.listen('127.0.0.1:0')
  await once(listener.server, 'listening')
  const { port } = listener.server.address() as AddressInfo
  const early = statusOf(port)
  await once(listener.server, 'connection')
  const server = createServer((_request, response) => response.writeHead(204).end())
  await listener.handOver(server)
  expect(await early).toBe(204)
  expect(await statusOf(port)).toBe(204)
  server.close()
})

test('an address that was in use before the handover is reported', async () => {
  const other = new EarlyListener()
  other.listen('127.0.0.1:0')
  await once(other.server, 'listening')
  const listener = new EarlyListener()
  listener.listen(`127.0.0.1:${(other.server.address() as AddressInfo).port}`)
  await once(listener.server, 'error').catch(() => undefined)
  await new Promise((resolve) => setImmediate(resolve))
  await expect(listener.handOver(createServer())).rejects.toMatchObject({ code: ResultCode.ADDRESS_IN_USE })
  other.server.close()
})
