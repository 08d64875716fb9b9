import { once } from 'node:events'
import type { Server } from 'node:http'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { createPeerRpcServer } from '@mimosarock/gateway/membership/create-peer-rpc-server.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import type { GatewayConfiguration } from '@mimosarock/gateway/model/gateway-configuration.js'
import type { Route } from '@mimosarock/gateway/model/route.js'
import { PortReservation } from '@mimosarock/stand-ins/port-reservation.js'
import { createConfiguration } from './create-configuration.js'
import { createFleetState } from './create-fleet-state.js'
import { createLargeConfiguration } from './create-large-configuration.js'
import { GatewayFixture } from './gateway-fixture.js'
import { waitUntil } from './wait-until.js'

const ADDED_ROUTES = 1_480
const VERIFYING_INTERVAL_MS = 50
/** Part of its time that a request may wait for the awaited version; it has 600 ms. */
const WAITING_MS = 400
const HEADERS = { deadline: '600' }

/** Another router, which has a version and sends it only when it is let. */
let peer: { readonly state: FleetState, readonly server: Server, readonly port: PortReservation, readonly verifying: NodeJS.Timeout }
let sendVersion: () => void
let fixture: GatewayFixture

beforeEach(async () => {
  const port = await PortReservation.create()
  const clock = { now: () => performance.now() + 1_000_000 }
  const state = createFleetState('peer', clock, { address: `127.0.0.1:${port.port}` })
  state.configuration.adopt(createConfiguration(3), 'store')
  const sent = new Promise<void>((resolve) => { sendVersion = resolve })
  const sync = new SyncServer(state, 'i1', () => clock.now(), () => 0)
  const slowSync = Object.create(sync, {
    configurationUpdate: {
      value: async (fromVersion: number) => {
        await sent
        return sync.configurationUpdate(fromVersion)
      }
    }
  }) as SyncServer
  const server = createPeerRpcServer(slowSync, () => sync.knowledge({ isReader: true, source: null }), () => undefined)
  server.listen(port.port, '127.0.0.1')
  await once(server, 'listening')
  fixture = new GatewayFixture(1, 1_000, { seeds: () => [state.routers.self.address] })
  const verifying = setInterval(() => {
    state.configuration.markVerified(clock.now())
    state.endpoints.replace(fixture.store.endpoints.changes.flatMap(({ value }) => value ?? []), undefined)
    state.endpointsFreshness.verifiedAt = clock.now()
  }, VERIFYING_INTERVAL_MS)
  peer = { state, server, port, verifying }
  await fixture.start()
  await waitUntil(async () => await fixture.readiness() === 200)
})

afterEach(async () => {
  clearInterval(peer.verifying)
  sendVersion()
  await fixture.stop()
  peer.server.closeAllConnections()
  peer.server.close()
  peer.port.release()
})

/** A version with a route, a workspace and many more routes than the one in force, which is sent apart from sync answers. */
function createNewVersion (): GatewayConfiguration {
  const large = createLargeConfiguration(4, ADDED_ROUTES)
  const added = { ...large.routes[0] as Route, name: 'added', pathPrefix: '/added/' }
  return { ...large, routes: [...large.routes, added], workspaces: [...large.workspaces ?? [], { name: 'new', apiKeys: ['k3'], priority: undefined }] }
}

/** Lets the router hear of a version that it can get neither from the store nor from the other router yet. */
async function announceNewVersion (): Promise<void> {
  fixture.store.configurations.isDown = true
  peer.state.configuration.adopt(createNewVersion(), 'store')
  await waitUntil(() => fixture.lines.some(({ event, fields }) => event === 'configuration-awaited' && fields.version === 4))
}

// Guards against CONFIG: a router that knew of a newer version, which it was still being sent, told callers for good that a route or a key is unknown.
test.each([
  { what: 'on a route', path: '/added/', key: 'k1' },
  { what: 'with a key', path: '/keyed/', key: 'k3' }
])('a request $what that only an awaited version has is refused as not run, with the time to come back', async ({ path, key }) => {
  await announceNewVersion()
  const refused = await fixture.call('GET', path, { ...HEADERS, key })
  expect([refused.status, Number(refused.headers['retry-after']) > 0]).toEqual([503, true])
  sendVersion()
  await waitUntil(async () => (await fixture.call('GET', path, { ...HEADERS, key })).status === 200)
})

// Guards against refusals of requests that could be served a moment later.
test('a request on a route that only an awaited version has is served when that version arrives soon', async () => {
  await announceNewVersion()
  const answer = fixture.call('GET', '/added/', { deadline: '4000' })
  setTimeout(sendVersion, WAITING_MS / 2)
  expect((await answer).status).toBe(200)
})

// Guards against refusals of requests that no version allows, and against waits that delay what every version allows.
test('while a version is awaited, requests that both versions allow are served at once; when none is, unknown routes are refused for good', async () => {
  expect((await fixture.call('GET', '/none/', HEADERS)).status).toBe(404)
  await announceNewVersion()
  expect((await fixture.call('GET', '/read/', HEADERS)).status).toBe(200)
  sendVersion()
  await waitUntil(async () => (await fixture.call('GET', '/added/', HEADERS)).status === 200)
  expect((await fixture.call('GET', '/none/', HEADERS)).status).toBe(404)
})

// Guards against CONFIG while a router reaches neither the store nor another router: it does not know whether there is a newer version.
test('a router that has not known for the time of the bound whether there is a newer version refuses no unknown route or key for good', async () => {
  fixture.store.configurations.isDown = true
  peer.server.closeAllConnections()
  peer.server.close()
  await waitUntil(async () => (await fixture.call('GET', '/none/', HEADERS)).status === 503)
  const refused = await fixture.call('GET', '/keyed/', { ...HEADERS, key: 'k3' })
  expect([refused.status, Number(refused.headers['retry-after']) > 0, (await fixture.call('GET', '/read/', HEADERS)).status]).toEqual([503, true, 200])
})
