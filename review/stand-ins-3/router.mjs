// Starts routers with the `run` line and the settings template of the deploy file.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { appendFileSync, existsSync, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const RUN_LINE = /^run = "(.*)"$/m

/** Replaces the placeholders of the deploy template: values, and sections over a table. */
export function render (template, fields) {
  const valueOf = (path) => path.split('.').reduce((value, name) => value?.[name], fields) ?? ''
  const withSections = template.replace(/\{\{#(\w+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g, (_, name, body) => {
    return Object.entries(fields[name] ?? {}).map(([key, value]) => body.replaceAll('{{@}}', key).replaceAll('{{.}}', value)).join('')
  })
  return withSections.replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(valueOf(path)))
}

async function freePort (host) {
  const server = createServer()
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, resolve)
  })
  const { port } = server.address()
  await new Promise((resolve) => server.close(resolve))
  return port
}

/** Returns settings for the machines of a small deployment, each with a loopback address of its own. */
export async function createMachines (count, store, bounds) {
  const network = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`
  const machines = []
  for (let index = 0; index < count; index += 1) {
    const ip = `${network}.${10 + index}`
    const [frontend, readiness, controlPlane] = [await freePort(ip), await freePort(ip), await freePort(ip)]
    machines.push({
      nodeName: `edge-${index + 1}`,
      ip,
      zone: `zone-${index % 3}`,
      region: 'region',
      zones: { 'zone-0': 'region', 'zone-1': 'region', 'zone-2': 'region' },
      listen: { frontend: `${ip}:${frontend}`, readiness: `${ip}:${readiness}`, controlPlane: `${ip}:${controlPlane}` },
      limits: { maxFds: 4100, memoryMb: 350 },
      platform: { address: store.address },
      bounds
    })
  }
  const seeds = machines.slice(0, 3).map(({ listen }) => listen.controlPlane).join(',')
  return machines.map((machine) => ({ ...machine, seeds }))
}

export class Router {
  constructor (machine, directory) {
    this.machine = machine
    this.name = machine.nodeName
    this.settingsPath = `${directory}/${this.name}.ini`
    this.logPath = `${directory}/${this.name}.log`
    const [host, port] = machine.listen.frontend.split(':')
    this.host = host
    this.port = Number(port)
    const template = readFileSync(`${ROOT}deploy/router.ini.template`, 'utf8')
    writeFileSync(this.settingsPath, render(template, machine))
  }

  start () {
    const [program, ...words] = RUN_LINE.exec(readFileSync(`${ROOT}deploy/system.toml`, 'utf8'))[1].split(' ')
    const { PATH, HOME, LANG } = process.env
    this.child = spawn(program, words, { cwd: ROOT, env: { PATH, HOME, LANG, MIMOSAROCK_BOOT: this.settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
    for (const output of [this.child.stdout, this.child.stderr]) output.on('data', (bytes) => appendFileSync(this.logPath, bytes))
    this.exited = once(this.child, 'exit')
  }

  /** Returns the lines of the log that name one of some events. */
  logLines (events) {
    const lines = existsSync(this.logPath) ? readFileSync(this.logPath, 'utf8').split('\n') : []
    return lines.filter((line) => events.some((event) => line.includes(event)))
  }

  get isRunning () {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
  }

  signal (name) {
    if (this.isRunning) this.child.kill(name)
  }

  async isReady () {
    try {
      const response = await fetch(`http://${this.machine.listen.readiness}/mimosarock/readyz`, { signal: AbortSignal.timeout(1000) })
      await response.arrayBuffer()
      return response.status === 200
    } catch {
      return false
    }
  }
}

/** Waits until all routers count as ready. */
export async function waitUntilReady (routers, maximumMs) {
  const until = performance.now() + maximumMs
  for (const router of routers) {
    while (!await router.isReady()) {
      if (performance.now() > until) throw new Error(`${router.name} is not ready after ${maximumMs} ms`)
      await new Promise((resolve) => setTimeout(resolve, 50))
    }
  }
}
