import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { createServer } from 'node:net'
import { fileURLToPath } from 'node:url'

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url))
const READY_TIMEOUT_MS = 20_000
const READY_CHECK_MS = 50

/** Bounds of the small deployments. */
const BOUNDS = { graceS: 8, drainMs: 2_000, configApplyMs: 2_000, failClosed: true, revokeMs: 5_000, retryRatio: 0.2, retryWindowS: 10, budgetSlack: 52, capFactor: 2 }

/** A router process, started with the command and the settings template of the deploy file. */
export class Router {
  /**
   * @param name name of the machine
   * @param ip loopback address of the machine
   * @param zone zone of the machine
   * @param directory folder for its settings and its log
   */
  constructor ({ name, ip, zone, directory }) {
    Object.assign(this, { name, ip, zone, directory })
  }

  /** Chooses the ports of this router. */
  async reservePorts () {
    [this.port, this.readinessPort, this.peersPort] = await freePorts(this.ip)
  }

  get peers () {
    return `${this.ip}:${this.peersPort}`
  }

  /** Whether the process runs. */
  get isRunning () {
    return this.process !== undefined && this.process.exitCode === null && this.process.signalCode === null
  }

  /** Starts the process. Resolves when it says that it is ready. */
  async start (store, seeds) {
    this.launch(store, seeds)
    await this.untilReady()
  }

  /** Starts the process. */
  launch (store, seeds) {
    const { command, template } = readDeployFile()
    const settingsPath = `${this.directory}/${this.name}.ini`
    writeFileSync(settingsPath, render(readFileSync(`${REPOSITORY}/${template}`, 'utf8'), this.#settings(store, seeds)))
    const [program, ...words] = command.split(' ')
    const { PATH, HOME, LANG } = process.env
    const env = Object.fromEntries(Object.entries({ PATH, HOME, LANG, MIMOSAROCK_BOOT: settingsPath }).filter(([, value]) => value !== undefined))
    this.process = spawn(program === 'node' ? process.execPath : program, words, { cwd: REPOSITORY, env, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(`${this.directory}/${this.name}.log`, { flags: 'a' })
    this.process.stdout.pipe(log, { end: false })
    this.process.stderr.pipe(log, { end: false })
  }

  /** Sends a signal to the process. */
  signal (name) {
    if (this.isRunning) this.process.kill(name)
  }

  /** Ends the process. */
  async end () {
    if (!this.isRunning) return
    const exit = once(this.process, 'exit')
    this.process.kill('SIGCONT')
    this.process.kill('SIGKILL')
    await exit
  }

  #settings (store, seeds) {
    return {
      nodeName: this.name,
      zone: this.zone,
      region: 'region',
      zones: { a: 'region', b: 'region', c: 'region' },
      ip: this.ip,
      limits: { maxFds: 4_200, memoryMb: 350 },
      listen: { frontend: `${this.ip}:${this.port}`, readiness: `${this.ip}:${this.readinessPort}`, controlPlane: this.peers },
      platform: { address: store },
      seeds: seeds.join(','),
      bounds: BOUNDS
    }
  }

  /** Resolves when the process says that it is ready. */
  async untilReady () {
    const end = performance.now() + READY_TIMEOUT_MS
    while (performance.now() < end && this.isRunning) {
      if (await this.#isReady()) return
      await new Promise((resolve) => setTimeout(resolve, READY_CHECK_MS))
    }
    throw new Error(`router ${this.name} did not become ready`)
  }

  #isReady () {
    return new Promise((resolve) => {
      const request = get({ host: this.ip, port: this.readinessPort, path: '/mimosarock/readyz', agent: false, timeout: 1_000 }, (response) => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('error', () => resolve(false))
    })
  }
}

function readDeployFile () {
  const text = readFileSync(`${REPOSITORY}/deploy/system.toml`, 'utf8')
  const value = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(text)[1]
  return { command: value('run'), template: value('template') }
}

/** Fills in a settings template: values, and sections over the entries of a table. */
function render (template, settings) {
  const valueOf = (path) => path.split('.').reduce((value, key) => value?.[key], settings)
  const withSections = template.replace(/\{\{#(\w+)\}\}\n?([^]*?)\{\{\/\1\}\}\n?/g, (_match, name, body) => {
    return Object.entries(valueOf(name)).map(([key, value]) => body.replaceAll('{{@}}', key).replaceAll('{{.}}', value)).join('')
  })
  return withSections.replace(/\{\{([\w.]+)\}\}/g, (_match, path) => valueOf(path) ?? '')
}

async function freePorts (host) {
  const servers = [createServer(), createServer(), createServer()]
  for (const server of servers) {
    server.listen(0, host)
    await once(server, 'listening')
  }
  const ports = servers.map((server) => server.address().port)
  for (const server of servers) server.close()
  return ports
}
