// A router that reads the store for the others is partitioned from the store alone, while servers leave. Counts requests that
// the other routers send to a server later than `drainMs` after the store has acknowledged that it is draining.
import { mkdtempSync, rmSync } from 'node:fs'
import { Agent, request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { setTimeout as sleep } from 'node:timers/promises'
import { Link } from '../lib/link.mjs'
import { Record } from '../lib/record.mjs'
import { Router } from '../lib/router.mjs'
import { ServiceServer } from '../lib/service-server.mjs'
import { Store } from '../lib/store.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const ZONES = { 'kzc-a': 'kz-central', 'kzc-b': 'kz-central', 'kzc-c': 'kz-central' }
const ROUTER_ZONES = ['kzc-a', 'kzc-a', 'kzc-a', 'kzc-b', 'kzc-b', 'kzc-b', 'kzc-c', 'kzc-c']
const BOUNDS = { graceS: 8, failClosed: true, revokeMs: 5_000, retryRatio: 0.2, budgetSlack: 56, retryWindowS: 10, capFactor: 2 }
const DRAIN_MS = 2_000
const CONTACT_MS = 3_000
const BEAT_MS = 1_200
/** Servers of the service whose requests are sent, and of another one, in each zone. */
const SERVERS_PER_ZONE = 2
const OTHER_SERVERS_PER_ZONE = 6
const CUT_MS = 4_000
/** Time in which the answer to the last read before the cut reaches the reader. */
const READ_MS = 20
const CYCLES = 8
/** A server serves for this long after its leaving was acknowledged. */
const LINGER_MS = 3_500
const CYCLE_MS = 11_500
const REQUEST_INTERVAL_MS = 25

const record = new Record()
const store = new Store()
const servers = new Set()
const drainingSince = new Map()
const sent = new Map()
const violations = []
const statuses = new Map()
const cuts = []
const ending = new AbortController()
let serverNumber = 0

function isInTouch (router, at) {
  return !cuts.some((cut) => cut.router === router && at >= cut.from && at <= cut.until + CONTACT_MS)
}

function onRun (server, id) {
  const { router, at } = sent.get(id)
  const since = drainingSince.get(server.id)
  record.add(`run ${id} at ${server.id} from ${router.name}${since === undefined ? '' : `, draining for ${(record.now - since).toFixed(0)} ms`}`)
  if (since === undefined || at - since <= DRAIN_MS || !isInTouch(router, at)) return
  violations.push(`${id}, which a client sent to ${router.name} ${(at - since).toFixed(0)} ms after the store had acknowledged that ${server.id} is draining, ran there`)
  record.add(`DRAIN ${violations.at(-1)}`)
}

async function addServer (service, zone) {
  serverNumber += 1
  const server = new ServiceServer({ id: `i-${serverNumber}`, service, zone, slots: 6, workMs: 15, onRun })
  await server.start()
  servers.add(server)
  store.put('keyed.servers', server.id, server.nextEntry())
}

/** Writes the entries of the servers every heartbeat, each at a moment of its own. */
async function beat () {
  while (!ending.signal.aborted) {
    for (const server of [...servers]) {
      await sleep(BEAT_MS / servers.size)
      if (servers.has(server)) store.put('keyed.servers', server.id, server.nextEntry())
    }
  }
}

async function leave (server) {
  server.state = 'draining'
  store.put('keyed.servers', server.id, server.nextEntry())
  drainingSince.set(server.id, record.now)
  record.add(`acknowledged ${server.id} is draining`)
  await sleep(LINGER_MS)
  servers.delete(server)
  store.put('keyed.servers', server.id, '')
  server.stop()
}

/** Sends requests to one router all the time, as clients of the `unsafe` route. */
async function send (router) {
  const agent = new Agent({ keepAlive: true })
  for (let number = 0; !ending.signal.aborted; number += 1) {
    const id = `${router.name}-${number}`
    const headers = { host: 'registry.example', 'attempt-id': id, 'deadline-ms': '1500', 'content-length': '4' }
    const call = httpRequest({ agent, host: router.host, port: router.port, path: '/retire/x', method: 'POST', headers }, (response) => {
      response.resume()
      statuses.set(response.statusCode, (statuses.get(response.statusCode) ?? 0) + 1)
      response.on('end', () => record.add(`answer ${id} ${response.statusCode}`))
    })
    call.on('error', (error) => record.add(`answer ${id} ${error.code}`))
    sent.set(id, { router, at: record.now })
    record.add(`send ${id}`)
    call.end('body')
    await sleep(REQUEST_INTERVAL_MS)
  }
  agent.destroy()
}

async function run (directory) {
  const storePort = await store.start()
  store.put('keyed.op', 'config', JSON.stringify({
    version: 1,
    routes: [{ name: 'retire', host: 'registry.example', pathPrefix: '/retire/', type: 'unsafe', service: 'registry-core', timeoutMs: 800, sloMs: 120, maxAttempts: 1, priority: 2 }],
    services: [{ name: 'registry-core', maxConns: 110 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 }
  }))
  for (const zone of Object.keys(ZONES)) {
    for (let count = 0; count < SERVERS_PER_ZONE; count += 1) await addServer('registry-core', zone)
    for (let count = 0; count < OTHER_SERVERS_PER_ZONE; count += 1) await addServer('mimosa-llm', zone)
  }
  const routers = ROUTER_ZONES.map((zone, index) => new Router({ name: `edge-${zone}-${index}`, zone, zones: ZONES, directory, bounds: BOUNDS }))
  const links = new Map()
  let onServersRead = () => undefined
  store.onRead = (topic, port) => {
    if (topic !== 'keyed.servers') return
    for (const [router, link] of links) if (link.hasLocalPort(port)) onServersRead(router)
  }
  const nextReader = () => new Promise((resolve) => { onServersRead = resolve })
  try {
    for (const router of routers) await router.reserve()
    const seeds = routers.slice(0, 3).map(({ peersAddress }) => peersAddress)
    for (const router of routers) {
      const link = new Link(storePort)
      links.set(router, link)
      router.start(`127.0.0.1:${await link.start()}`, seeds)
    }
    for (const router of routers) await router.waitUntilReady()
    const tasks = [beat(), ...routers.map((router) => send(router))]
    await sleep(5_000)
    for (let cycle = 0; cycle < CYCLES; cycle += 1) {
      const reader = await nextReader()
      const leaving = Object.keys(ZONES).map((zone) => [...servers].find((server) => server.service === 'registry-core' && server.zone === zone))
      for (const server of leaving) tasks.push(leave(server))
      await sleep(READ_MS)
      if (HAS_TROUBLE) await cutFromStore(reader, links.get(reader))
      else await sleep(CUT_MS)
      for (const { zone } of leaving) await addServer('registry-core', zone)
      await sleep(CYCLE_MS - CUT_MS)
    }
    ending.abort()
    await Promise.all(tasks)
  } finally {
    for (const router of routers) router.signal('SIGKILL')
    await Promise.all(routers.map(({ ended }) => ended))
  }
}

async function cutFromStore (router, link) {
  const cut = { router, from: record.now, until: Infinity }
  cuts.push(cut)
  record.add(`cut ${router.name} from the store`)
  link.cut()
  await sleep(CUT_MS)
  link.heal()
  cut.until = record.now
  record.add(`healed ${router.name}`)
}

const directory = mkdtempSync(`${process.env.REVIEW_TMP ?? tmpdir()}/review-`)
let code = 2
try {
  await run(directory)
  code = violations.length > 0 ? 1 : 0
} catch (error) {
  record.add(`could not run: ${error.stack}`)
}
record.add(`statuses ${JSON.stringify([...statuses])}`)
record.add(code === 2 ? 'not run' : `${violations.length} requests broke DRAIN`)
record.write(process.env.RECORD ?? new URL('record.txt', import.meta.url))
if (process.env.KEEP !== '1') rmSync(directory, { recursive: true, force: true })
console.log(violations.slice(0, 3).join('\n'), `${violations.length} violations, exit ${code}`)
process.exit(code)
