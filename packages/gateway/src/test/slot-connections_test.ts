import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import { createConnection, type AddressInfo, type Socket } from 'node:net'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointHealth } from '@mimosarock/gateway/choice/endpoint-health.js'
import { SlotConnections } from '@mimosarock/gateway/grants/slot-connections.js'
import type { SlotGrant } from '@mimosarock/gateway/grants/slot-grant.js'
import type { SlotLink } from '@mimosarock/gateway/grants/slot-link.js'
import { SlotOwners } from '@mimosarock/gateway/grants/slot-owners.js'
import { SlotServer } from '@mimosarock/gateway/grants/slot-server.js'
import { ReportedLoads } from '@mimosarock/gateway/loads/reported-loads.js'
import type { RouterEntry } from '@mimosarock/gateway/model/router-entry.js'
import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'

const REQUEST = { service: 's', workspace: undefined, rank: 0, routeRank: 0, objectiveMs: 10_000, timeLeftMs: 40_000, excluded: [] }
const clock = { skewMs: 0, now: () => performance.now() + clock.skewMs }

let server: Server
let owners: SlotOwners
let isOwner: boolean
let slotServer: SlotServer
let router: RouterEntry
let stopping: AbortController

beforeEach(async () => {
  isOwner = true
  const endpoint = { id: 'e', service: 's', address: 'e:1', availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 7, revision: 1 }
  owners = new SlotOwners({
    clock, random: () => 0.5, availableEndpoints: () => [endpoint], health: new EndpointHealth(clock), reportedLoads: new ReportedLoads(clock, new SilentEventLog()), fleetLoad: () => 0, loadBoundFactor: () => 2
  }, () => isOwner)
  slotServer = new SlotServer(owners)
  server = createServer()
  slotServer.attach(server)
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  router = { name: 'owner', availabilityZone: 'z', address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
  stopping = new AbortController()
})

afterEach(() => {
  stopping.abort()
  slotServer.close()
  server.close()
})

async function openLink (): Promise<{ readonly connections: SlotConnections, readonly link: SlotLink }> {
  const connections = new SlotConnections('asking', new SilentEventLog())
  connections.run(() => [router], stopping.signal).catch(() => undefined)
  const link = await vi.waitFor(() => {
    const open = connections.linkTo(router)
    if (open === undefined) throw new Error('not open')
    return open
  })
  return { connections, link }
}

async function requestSlot (link: SlotLink): Promise<SlotGrant> {
  return await new Promise((resolve, reject) => link.request(REQUEST, {
    queued: () => undefined, granted: resolve, refused: ({ message }) => reject(new Error(message)), lost: () => reject(new Error('lost'))
  }))
}

async function upgrade (): Promise<Socket> {
  const socket = createConnection((server.address() as AddressInfo).port, '127.0.0.1')
  socket.setEncoding('utf8')
  socket.write('GET /slots HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: mimosarock-slots\r\n\r\n')
  const [head] = await once(socket, 'data') as [string]
  expect(head).toMatch(/^HTTP\/1\.1 101 /)
  return socket
}

// Guards against a protocol that works between the classes, but not over a connection.
test('grants slots over a connection: a request beyond the slots and one more waits for a release', async () => {
  const { link } = await openLink()
  const first = await requestSlot(link)
  expect(first).toMatchObject({ endpointId: 'e', startedAt: 7, waitedMs: 0 })
  // A new owner grants no more than the slots.
  clock.skewMs += 350
  const more = [requestSlot(link), requestSlot(link)]
  await vi.waitFor(() => expect(owners.hasWork && owners.inUse).toBe(2))
  link.release({ grant: first.grant, outcome: CallOutcome.COMPLETE, elapsedMs: 30, load: { running: 1, waiting: 0, slots: 1, slowdown: undefined } })
  expect((await Promise.all(more)).map(({ endpointId }) => endpointId)).toEqual(['e', 'e'])
})

// Guards against a connection that stays lost, and against requests that wait for an answer that cannot come.
test('ends requests when the connection is lost, and opens it again', async () => {
  const { connections, link } = await openLink()
  const first = await requestSlot(link)
  connections.reset(router)
  await expect(requestSlot(link)).rejects.toThrow('lost')
  expect(connections.isDown(router)).toBe(true)
  const again = await vi.waitFor(() => {
    const open = connections.linkTo(router)
    if (open === undefined) throw new Error('not open')
    return open
  })
  expect(connections.isDown(router)).toBe(false)
  expect((await requestSlot(again)).grant).toBeGreaterThan(first.grant)
})

// Guards against a metric that shows two owners as long as a former one gets no requests.
test('a router that another one has replaced as owner refuses requests, and no longer shows the service as its own', async () => {
  const { link } = await openLink()
  await requestSlot(link)
  expect(owners.services).toEqual(['s'])
  isOwner = false
  expect(owners.services).toEqual([])
  await expect(requestSlot(link)).rejects.toThrow('another router owns the slots')
})

// Guards against one small packet for each message.
test('joins messages that are written in one iteration of the event loop into one write', async () => {
  const accepted = once(server, 'connection') as Promise<[Socket]>
  const socket = await upgrade()
  const write = vi.spyOn((await accepted)[0], 'write')
  const lines = [1, 2].map((id) => JSON.stringify({ jsonrpc: '2.0', id, method: 'slot.request', params: REQUEST }))
  socket.write(`${lines.join('\n')}\n`)
  const [text] = await once(socket, 'data') as [string]
  expect(text.trim().split('\n').map((line) => (JSON.parse(line) as { readonly id: number }).id)).toEqual([1, 2])
  expect(write).toHaveBeenCalledTimes(1)
  socket.destroy()
})

// Guards against a connection on which the two sides no longer agree where messages begin.
test.each([['no JSON', '{'], ['no request', '[]'], ['an invalid request', '{"jsonrpc":"2.0","id":1,"method":"slot.request","params":{"service":5}}'], ['an unknown method', '{"jsonrpc":"2.0","id":1,"method":"x"}']])('answers %s with an error and closes the connection', async (_, line) => {
  const socket = await upgrade()
  socket.write(`${line}\n`)
  const [text] = await once(socket, 'data') as [string]
  expect(JSON.parse(text)).toMatchObject({ jsonrpc: '2.0', error: { code: expect.any(Number) as number } })
  await once(socket, 'close')
})

// Guards against other upgrades at the address of calls between routers.
test('rejects an upgrade to another protocol', async () => {
  const socket = createConnection((server.address() as AddressInfo).port, '127.0.0.1')
  socket.setEncoding('utf8')
  socket.write('GET /slots HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n')
  const [head] = await once(socket, 'data') as [string]
  expect(head).toMatch(/^HTTP\/1\.1 404 /)
  socket.destroy()
})

// Guards against an owner whose VM fails: its connection is reset instead of closed, and requests would wait for their time limit.
test('ends requests when the owner resets the connection, and opens it again', async () => {
  const sockets: Socket[] = []
  server.on('connection', (socket) => sockets.push(socket))
  const { connections, link } = await openLink()
  await requestSlot(link)
  const waiting = requestSlot(link)
  for (const socket of sockets) socket.resetAndDestroy()
  await expect(waiting).rejects.toThrow('lost')
  await vi.waitFor(() => expect([connections.isDown(router), connections.linkTo(router) === link]).toEqual([false, false]))
})

// Guards against an uncaught error, which would end the process.
test('survives the reset of a connection whose upgrade it rejects', async () => {
  const socket = createConnection((server.address() as AddressInfo).port, '127.0.0.1')
  socket.on('error', () => undefined)
  socket.write('GET /slots HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n')
  await once(socket, 'data')
  socket.resetAndDestroy()
  expect((await requestSlot((await openLink()).link)).endpointId).toBe('e')
})
