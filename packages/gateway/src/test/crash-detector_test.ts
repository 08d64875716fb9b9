import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import { expect, test } from 'vitest'
import type { PromptPart } from '@mimosarock/gateway/model/prompt-part.js'
import { CrashDetector } from '@mimosarock/gateway/quarantine/crash-detector.js'
import { refusesConnections } from '@mimosarock/gateway/sending/refuses-connections.js'

const ENDPOINT = { id: 'e', service: 's', address: 'a:1', availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 1, revision: 0 }

/** Reports two lost calls to an endpoint and returns the prompts of the crash, if any. */
async function loseTwoCalls (isRefusing: boolean): Promise<string[] | undefined> {
  let crashed: readonly (readonly PromptPart[])[] | undefined
  const checked = Promise.resolve(isRefusing)
  const detector = new CrashDetector({ refusesConnections: () => checked, onCrash: (_endpoint, prompts) => { crashed = prompts } })
  detector.connectionLost(ENDPOINT, [{ id: 'p1', tokens: 1 }])
  detector.connectionLost(ENDPOINT, [{ id: 'p2', tokens: 1 }])
  await checked
  await checked
  return crashed?.flat().map(({ id }) => id)
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
