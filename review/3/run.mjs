// The router that reads the store for the others is partitioned from the store alone, an API key is taken away just after that, and
// another router freezes. Counts requests with that key that run although a client sent them to one of the other routers later than
// `configApplyMs` after the acknowledgement.
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
const CONFIG_APPLY_MS = 2_000
const CONTACT_MS = 3_000
const BEAT_MS = 1_200
/** Servers of the service whose requests are sent, and of another one, in each zone. */
const SERVERS_PER_ZONE = 2
const OTHER_SERVERS_PER_ZONE = 6
const CUT_MS = 4_000
/** Time in which the answer to the last read before the cut reaches the reader. */
const READ_MS = 20
/** Time from the cut to the change of the configuration. */
const OPERATOR_MS = 5
const CYCLES = 8
/** The freeze of the second router: time from the cut to its begin, and its length. */
const FREEZE_AFTER_MS = 700
const FREEZE_MS = 3_000
/** Requests with a key that was taken away are sent for this long. */
const OLD_KEY_MS = 4_000
const CYCLE_MS = 11_500
const REQUEST_INTERVAL_MS = 25

const record = new Record()
const store = new Store()
const servers = new Set()
const takenAwayAt = new Map()
const sent = new Map()
const violations = []
const statuses = new Map()
const disturbances = []
const ending = new AbortController()
let serverNumber = 0
let version = 0
let key = 'key-0'

function isInTouch (router, at) {
  return !disturbances.some((disturbance) => disturbance.router === router && at >= disturbance.from && at <= disturbance.until + CONTACT_MS)
}

function onRun (server, id) {
  const { router, at, usedKey } = sent.get(id)
  const since = takenAwayAt.get(usedKey)
  record.add(`run ${id} at ${server.id} from ${router.name} with ${usedKey}${since === undefined ? '' : `, taken away ${(record.now - since).toFixed(0)} ms ago`}`)
  if (since === undefined || at - since <= CONFIG_APPLY_MS || !isInTouch(router, at)) return
  violations.push(`${id}, which a client sent to ${router.name} ${(at - since).toFixed(0)} ms after the configuration without ${usedKey} was acknowledged, ran`)
  record.add(`CONFIG ${violations.at(-1)}`)
}

/** Writes the next version of the configuration, in which the present key is replaced by another one. */
function replaceKey () {
  const replaced = key
  version += 3
  key = `key-${version}`
  store.put('keyed.op', 'config', JSON.stringify({
    version,
    routes: [{ name: 'retire', host: 'registry.example', pathPrefix: '/retire/', type: 'unsafe', service: 'registry-core', timeoutMs: 800, sloMs: 120, maxAttempts: 1, priority: 2 }],
    services: [{ name: 'registry-core', maxConns: 110 }],
    tenants: [{ name: 'buyers', apiKeys: ['lasting-key', key] }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 }
  }))
  takenAwayAt.set(replaced, record.now)
  record.add(`acknowledged version ${version} without ${replaced}`)
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

/** Sends requests to one router all the time. Their key is the present one, and for a while the one before it. */
async function send (router) {
  const agent = new Agent({ keepAlive: true })
  let usedKey = key
  for (let number = 0; !ending.signal.aborted; number += 1) {
    if (record.now - (takenAwayAt.get(usedKey) ?? Infinity) > OLD_KEY_MS) usedKey = key
    const id = `${router.name}-${number}`
    const headers = { host: 'registry.example', 'attempt-id': id, 'deadline-ms': '1500', 'content-length': '4', authorization: `Bearer ${usedKey}` }
    const call = httpRequest({ agent, host: router.host, port: router.port, path: '/retire/x', method: 'POST', headers }, (response) => {
      response.resume()
      statuses.set(response.statusCode, (statuses.get(response.statusCode) ?? 0) + 1)
      response.on('end', () => record.add(`answer ${id} ${response.statusCode}`))
    })
    call.on('error', (error) => record.add(`answer ${id} ${error.code}`))
    sent.set(id, { router, at: record.now, usedKey })
    record.add(`send ${id}`)
    call.end('body')
    await sleep(REQUEST_INTERVAL_MS)
  }
  agent.destroy()
}

async function run (directory) {
  const storePort = await store.start()
  replaceKey()
  for (const zone of Object.keys(ZONES)) {
    for (let count = 0; count < SERVERS_PER_ZONE; count += 1) await addServer('registry-core', zone)
    for (let count = 0; count < OTHER_SERVERS_PER_ZONE; count += 1) await addServer('mimosa-llm', zone)
  }
  const routers = ROUTER_ZONES.map((zone, index) => new Router({ name: `edge-${zone}-${index}`, zone, zones: ZONES, directory, bounds: BOUNDS }))
  const links = new Map()
  let onServersRead = () => undefined
  let lastReader
  store.onRead = (topic, port) => {
    if (topic !== 'keyed.servers') return
    for (const [router, link] of links) if (link.hasLocalPort(port)) lastReader = router
    onServersRead(lastReader)
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
    let second
    await sleep(5_000)
    for (let cycle = 0; cycle < CYCLES; cycle += 1) {
      const reader = await nextReader()
      await sleep(READ_MS)
      const cut = HAS_TROUBLE ? cutFromStore(reader, links.get(reader)) : sleep(CUT_MS)
      await sleep(OPERATOR_MS)
      replaceKey()
      if (HAS_TROUBLE && second !== undefined) tasks.push(freeze(second))
      // The one that reads the store instead of the reader.
      await sleep(CUT_MS - 500)
      if (HAS_TROUBLE && second === undefined) second = lastReader
      await cut
      await sleep(CYCLE_MS - CUT_MS)
    }
    ending.abort()
    await Promise.all(tasks)
  } finally {
    for (const router of routers) router.signal('SIGKILL')
    await Promise.all(routers.map(({ ended }) => ended))
  }
}

async function freeze (router) {
  await sleep(FREEZE_AFTER_MS)
  const freezing = { router, from: record.now, until: Infinity }
  disturbances.push(freezing)
  record.add(`freeze ${router.name}`)
  router.signal('SIGSTOP')
  await sleep(FREEZE_MS)
  router.signal('SIGCONT')
  freezing.until = record.now
  record.add(`continue ${router.name}`)
}

async function cutFromStore (router, link) {
  const cut = { router, from: record.now, until: Infinity }
  disturbances.push(cut)
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
record.add(code === 2 ? 'not run' : `${violations.length} requests broke CONFIG`)
record.write(process.env.RECORD ?? new URL('record.txt', import.meta.url))
if (process.env.KEEP !== '1') rmSync(directory, { recursive: true, force: true })
console.log(violations.slice(0, 3).join('\n'), `${violations.length} violations, exit ${code}`)
process.exit(code)
