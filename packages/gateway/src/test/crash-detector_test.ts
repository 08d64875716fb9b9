import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import { expect, test } from 'vitest'
import { CrashDetector } from '@mimosarock/gateway/quarantine/crash-detector.js'
import type { LostCall } from '@mimosarock/gateway/quarantine/lost-call.js'
import { refusesConnections } from '@mimosarock/gateway/sending/refuses-connections.js'

const ENDPOINT = { id: 'e', service: 's', address: 'a:1', availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 1, revision: 0 }

function createLostCall (fingerprint: string): LostCall {
  return { content: { prompt: [], fingerprint }, lostAt: 10, hasBegun: false }
}

/** Reports two lost calls to an endpoint and returns the requests of the crash, if any. */
async function loseTwoCalls (isRefusing: boolean): Promise<string[] | undefined> {
  let crashed: readonly LostCall[] | undefined
  const checked = Promise.resolve(isRefusing)
  const detector = new CrashDetector({ refusesConnections: () => checked, onCrash: (_endpoint, calls) => { crashed = calls } })
  detector.connectionLost(ENDPOINT, createLostCall('p1'))
  detector.connectionLost(ENDPOINT, createLostCall('p2'))
  await checked
  await checked
  return crashed?.map(({ content }) => content.fingerprint)
}

test('calls that an endpoint lost when it crashed are reported together', async () => {
  expect(await loseTwoCalls(true)).toEqual(['p1', 'p2'])
})

test('calls lost by an endpoint that accepts connections are no sign of a crash', async () => {
  expect(await loseTwoCalls(false)).toBeUndefined()
})

test('an endpoint refuses connections only while nothing listens at its address', async () => {
  const server = createServer((socket) => socket.destroy())
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const whileListening = await refusesConnections(address)
  server.close()
  await once(server, 'close')
  expect([whileListening, await refusesConnections(address)]).toEqual([false, true])
})
