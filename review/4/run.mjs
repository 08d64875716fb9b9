// A report of a server gets no answer of the store, which carries it out some seconds later. Meanwhile the server has left. Counts requests
// that reach it although clients sent them later than `drainMs` after the store had acknowledged that it is draining.
import { mkdtempSync, rmSync } from 'node:fs'
import { Agent, request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { setTimeout as sleep } from 'node:timers/promises'
import { Record } from '../lib/record.mjs'
import { Router } from '../lib/router.mjs'
import { ServiceServer } from '../lib/service-server.mjs'
import { Store } from '../lib/store.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const ZONES = { 'kzc-a': 'kz-central', 'kzc-b': 'kz-central', 'kzc-c': 'kz-central' }
const BOUNDS = { graceS: 8, failClosed: true, revokeMs: 5_000, retryRatio: 0.2, budgetSlack: 56, retryWindowS: 10, capFactor: 2 }
const DRAIN_MS = 2_000
const BEAT_MS = 1_200
/** The store carries out a call that gets no answer up to 6 s later. */
const LATE_MS = 5_900
/** Time from that call until the server begins to leave; the store has been without disruption for `contactMs` then. */
const LEAVE_AFTER_MS = 3_200
/** The server reports `draining` for a little longer than `drainMs`; its entry is then removed, and it serves for some seconds more. */
const DRAINING_MS = 2_200
const LINGER_MS = 6_000
/** The store removes an entry after three intervals of silence. */
const SILENCE_MS = 3 * BEAT_MS
const REQUEST_INTERVAL_MS = 40

const record = new Record()
const store = new Store()
const servers = new Set()
const drainingSince = new Map()
const sent = new Map()
const violations = []
const ending = new AbortController()

function onRun (server, id) {
  const { router, at } = sent.get(id)
  const since = drainingSince.get(server.id)
  record.add(`run ${id} at ${server.id} from ${router.name}`)
  if (since === undefined || at - since <= DRAIN_MS) return
  violations.push(id)
  record.add(`DRAIN ${id}, sent to ${router.name} ${(at - since).toFixed(0)} ms after the store had acknowledged that ${server.id} is draining`)
}

async function beat () {
  while (!ending.signal.aborted) {
    for (const server of [...servers]) {
      await sleep(BEAT_MS / servers.size)
      if (servers.has(server)) store.put('keyed.servers', server.id, server.nextEntry())
    }
  }
}

/** Sends requests to one router all the time, as clients of the `unsafe` route. */
async function send (router) {
  const agent = new Agent({ keepAlive: true })
  for (let number = 0; !ending.signal.aborted; number += 1) {
    const id = `${router.name}-${number}`
    const headers = { host: 'registry.example', 'attempt-id': id, 'deadline-ms': '1500', 'content-length': '4' }
    const call = httpRequest({ agent, host: router.host, port: router.port, path: '/retire/x', method: 'POST', headers }, (response) => {
      response.resume()
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

/** Sends a report that gets no answer and is carried out late. The server reports again at its next heartbeat. */
async function reportWithoutAnswer (server) {
  const entry = server.nextEntry()
  record.add(`no answer to the report ${entry}`)
  await sleep(LATE_MS)
  store.put('keyed.servers', server.id, entry)
  record.add(`carried out late: ${entry}`)
  await sleep(SILENCE_MS)
  store.put('keyed.servers', server.id, '')
  record.add(`removed ${server.id} after three intervals of silence`)
}

async function leave (server) {
  server.state = 'draining'
  store.put('keyed.servers', server.id, server.nextEntry())
  drainingSince.set(server.id, record.now)
  record.add(`acknowledged ${server.id} is draining`)
  await sleep(DRAINING_MS)
  servers.delete(server)
  store.put('keyed.servers', server.id, '')
  record.add(`acknowledged ${server.id} is gone`)
  await sleep(LINGER_MS)
  server.stop()
}

async function run (directory) {
  const storePort = await store.start()
  store.put('keyed.op', 'config', JSON.stringify({
    version: 1,
    routes: [{ name: 'retire', host: 'registry.example', pathPrefix: '/retire/', type: 'unsafe', service: 'registry-core', timeoutMs: 800, sloMs: 120, maxAttempts: 1, priority: 2 }],
    services: [{ name: 'registry-core', maxConns: 110 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 }
  }))
  const zones = Object.keys(ZONES)
  for (const zone of zones) {
    for (const number of [1, 2]) {
      const server = new ServiceServer({ id: `i-${zone}-${number}`, service: 'registry-core', zone, slots: 6, workMs: 15, onRun })
      await server.start()
      servers.add(server)
      store.put('keyed.servers', server.id, server.nextEntry())
    }
  }
  const routers = zones.map((zone) => new Router({ name: `edge-${zone}-1`, zone, zones: ZONES, directory, bounds: BOUNDS }))
  try {
    for (const router of routers) await router.reserve()
    for (const router of routers) router.start(`127.0.0.1:${storePort}`, routers.map(({ peersAddress }) => peersAddress))
    for (const router of routers) await router.waitUntilReady()
    const tasks = [beat(), ...routers.map((router) => send(router))]
    await sleep(4_000)
    const [server] = servers
    if (HAS_TROUBLE) tasks.push(reportWithoutAnswer(server))
    await sleep(LEAVE_AFTER_MS)
    await leave(server)
    ending.abort()
    await Promise.all(tasks)
  } finally {
    for (const router of routers) router.signal('SIGKILL')
    await Promise.all(routers.map(({ ended }) => ended))
  }
}

const directory = mkdtempSync(`${process.env.REVIEW_TMP ?? tmpdir()}/review-`)
let code = 2
try {
  await run(directory)
  code = violations.length > 0 ? 1 : 0
} catch (error) {
  record.add(`could not run: ${error.stack}`)
}
record.add(code === 2 ? 'not run' : `${violations.length} requests broke DRAIN`)
record.write(process.env.RECORD ?? new URL('record.txt', import.meta.url))
if (process.env.KEEP !== '1') rmSync(directory, { recursive: true, force: true })
process.exit(code)
