import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { writeResponseBody } from '../forward/write-response-body.js'
import { BoundedHttpClient } from '../http/bounded-http-client.js'
import { listen } from '../http/listen.js'

const CHUNK = Buffer.alloc(65_536, 'x')
const CHUNKS = 2_048
const QUIET_CHECKS = 20
const CHECK_MS = 20

const servers: Server[] = []
afterEach(async () => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections()
    server.close()
  }
})

async function start (server: Server): Promise<string> {
  servers.push(server)
  return await listen(server, '127.0.0.1:0')
}

test('applies back pressure to the endpoint while the caller does not read, and delivers every byte once it reads', async () => {
  let produced = 0
  const endpoint = await start(createServer((_, response) => {
    const produce = async (): Promise<void> => {
      for (let chunk = 0; chunk < CHUNKS; chunk += 1) {
        produced += CHUNK.length
        if (!response.write(CHUNK)) await once(response, 'drain')
      }
      response.end()
    }
    produce().catch(() => {})
  }))
  const client = new BoundedHttpClient({ address: endpoint, connectTimeoutMs: 1_000, maximumConnections: 1 })
  const router = await start(createServer((_, response) => {
    const relay = async (): Promise<void> => {
      const upstreamResponse = await client.send({
        method: 'GET', path: '/', headers: {}, body: undefined, firstByteTimeoutMs: 5_000, silenceTimeoutMs: 60_000
      }, AbortSignal.timeout(60_000))
      response.writeHead(upstreamResponse.status)
      await writeResponseBody(response, upstreamResponse.body, 60_000)
    }
    relay().catch(() => response.destroy())
  }))
  const [host, port] = router.split(':')
  const caller = connect(Number(port), host)
  caller.pause()
  caller.write('GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n')

  // Waits until the endpoint has not written for a while, because all buffers between it and the caller are full.
  let quiet = 0
  let last = -1
  while (quiet < QUIET_CHECKS) {
    await new Promise((resolve) => setTimeout(resolve, CHECK_MS))
    quiet = produced === last && produced > 0 ? quiet + 1 : 0
    last = produced
  }
  const total = CHUNK.length * CHUNKS
  expect(produced).toBeLessThan(total / 2)

  let received = 0
  caller.on('data', (bytes) => { received += bytes.length })
  caller.resume()
  await once(caller, 'close')
  expect(produced).toBe(total)
  expect(received).toBeGreaterThan(total)
  await client.destroy()
})
