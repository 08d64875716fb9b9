import { once } from 'node:events'
import { request, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { gzipSync } from 'node:zlib'
import { afterEach, expect, test } from 'vitest'
import { createPeerRpcServer } from '@mimosarock/gateway/membership/create-peer-rpc-server.js'
import { PeerRpcClient } from '@mimosarock/gateway/membership/peer-rpc-client.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import { EndlessServer } from '@mimosarock/stand-ins/endless-server.js'
import { createFleetState } from './create-fleet-state.js'

/** Bytes of a response, or of a request, after which its connection has to be closed; buffers of the system take some of them. */
const MAXIMUM_BYTES = 25_000_000
const MAXIMUM_HEAD_BYTES = 8_000_000
const FILLER = 'x'.repeat(16_384)
const COMPRESSED = gzipSync(Buffer.alloc(80_000_000)).toString('latin1')
const clock = { now: () => performance.now() }
const { self } = createFleetState('r1', clock).routers
const client = new PeerRpcClient(() => undefined)
const closing: (() => void)[] = []

afterEach(() => {
  for (const close of closing.splice(0)) close()
})

// Guards against a router that runs out of memory, or of processor time, with the answer of another one.
test.each([
  ['a reason phrase', 'HTTP/1.1 200 ', FILLER, MAXIMUM_HEAD_BYTES],
  ['headers', 'HTTP/1.1 200 OK\r\n', 'a: b\r\n'.repeat(2_000), MAXIMUM_HEAD_BYTES],
  ['a body', 'HTTP/1.1 200 OK\r\n\r\n', FILLER, MAXIMUM_BYTES],
  ['a body with a length', 'HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n', FILLER, MAXIMUM_BYTES]
])('an answer of another router with %s without end is cut off', async (_what, start, filler, maximumBytes) => {
  const server = await EndlessServer.start(start, filler)
  closing.push(() => server.close())
  await expect(client.configurationNews(server.address, { router: self, configurationVersion: 1 })).rejects.toThrow()
  expect(await server.sentBytes()).toBeLessThan(maximumBytes)
})

// Guards against the same by a short answer that is long once it is decompressed.
test('an answer of another router that is too long once it is decompressed is refused', async () => {
  const head = `HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: ${COMPRESSED.length}\r\n\r\n`
  const { createServer } = await import('node:net')
  const server = createServer((socket) => { socket.once('data', () => { socket.write(head + COMPRESSED, 'latin1') }) }).listen(0, '127.0.0.1')
  closing.push(() => server.close())
  await once(server, 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  await expect(client.configurationNews(address, { router: self, configurationVersion: 1 })).rejects.toThrow(/larger than/)
})

// Guards against the same by the request of another process.
test('a request to the address for other routers without an end is refused, and its connection closed', async () => {
  const sync = new SyncServer(createFleetState('r1', clock), 'i1', () => clock.now(), () => 0)
  const server: Server = createPeerRpcServer(sync, () => sync.knowledge({ isReader: true, source: null }), () => undefined)
  server.listen(0, '127.0.0.1')
  closing.push(() => server.close())
  await once(server, 'listening')
  const call = request({ method: 'POST', port: (server.address() as AddressInfo).port })
  call.on('error', () => undefined)
  const answered = once(call, 'response')
  let sentBytes = 0
  const closed = once(call, 'close')
  const send = (): void => {
    while (!call.destroyed && sentBytes < 4 * MAXIMUM_BYTES) {
      sentBytes += FILLER.length
      if (call.write(FILLER)) continue
      call.once('drain', send)
      return
    }
  }
  send()
  await Promise.race([answered, closed])
  call.destroy()
  expect(sentBytes).toBeLessThan(MAXIMUM_BYTES)
})
