import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { PassThrough } from 'node:stream'
import { afterEach, expect, test } from 'vitest'
import { createOperatorCli } from '../create-operator-cli.js'

const servers: Server[] = []

afterEach(() => { for (const server of servers.splice(0)) server.close() })

/** Starts a router that answers with a result; returns its address. */
async function startRouter (result: unknown): Promise<string> {
  const server = createServer((_request, response) => response.end(JSON.stringify({ jsonrpc: '2.0', id: 1, result })))
  servers.push(server)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function run (...addresses: string[]): Promise<{ code: number, output: string }> {
  const streams = { stdout: new PassThrough(), stderr: new PassThrough() }
  const code = await createOperatorCli().run(['fleet', 'knowledge', ...addresses], { ...streams, stdin: new PassThrough() })
  const output = [streams.stdout, streams.stderr].map((stream) => String(stream.read() ?? '')).join('')
  return { code, output: output.replaceAll(/127\.0\.0\.1:\d+/g, 'ADDRESS') }
}

const KNOWLEDGE = { router: 'a', isReader: true, source: null, storeEra: 3, configurationVersion: 12, configurationAgeMs: 40, endpointsAgeMs: 300, evacuatedZones: ['z-b', 'z-c'], routerCount: 2 }

test('the era, the reader and the ages that routers know are shown', async () => {
  const addresses = [await startRouter(KNOWLEDGE), await startRouter({ ...KNOWLEDGE, router: 'b', isReader: false, source: 'a', storeEra: null, evacuatedZones: undefined })]
  expect(await run(...addresses)).toMatchSnapshot()
})

test('a router that answers something else is an error of its own', async () => {
  expect(await run(await startRouter(KNOWLEDGE), await startRouter({ router: 7 }))).toMatchSnapshot()
})
