import { spawn } from 'node:child_process'
import { openSync, readFileSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { freePort } from './free-port.mjs'

const REPOSITORY = new URL('../../', import.meta.url)
const POLL_MS = 50
const START_POLLS = 200

/** Returns the `run` line of the deploy file, split at spaces. */
function runLine () {
  const [, line] = /^run = "(.*)"$/m.exec(readFileSync(new URL('deploy/system.toml', REPOSITORY), 'utf8'))
  return line.split(' ')
}

/** Fills in the template of the deploy file from the fields of a process. */
function settings (fields) {
  const template = readFileSync(new URL('deploy/router.ini.template', REPOSITORY), 'utf8')
  const zones = Object.entries(fields.zones).map(([zone, region]) => `${zone} = ${region}`).join('\n')
  return template
    .replace(/\{\{#zones\}\}[^]*?\{\{\/zones\}\}/, zones)
    .replace('{{ip}}:9464', fields.metrics)
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(path.split('.').reduce((value, name) => value?.[name], fields) ?? ''))
}

/** A loopback address of this process's own, so that scripts that run at the same time do not take each other's free ports. */
const HOST = `127.${64 + (process.pid >> 8) % 64}.${process.pid % 256}.1`

/** A router: the program of the deploy file as a process of its own. */
export class Router {
  host = HOST

  /**
   * @param options name, zone, directory for settings and log, bounds
   */
  constructor ({ name, zone, zones, directory, bounds }) {
    this.name = name
    this.zone = zone
    this._zones = zones
    this._directory = directory
    this._bounds = bounds
  }

  /** Reserves the addresses. */
  async reserve () {
    const ports = []
    for (let count = 0; count < 4; count += 1) ports.push(await freePort(HOST))
    const [frontend, readiness, peers, metrics] = ports
    this.port = frontend
    this.readinessPort = readiness
    this.peersAddress = `${HOST}:${peers}`
    this._metrics = `${HOST}:${metrics}`
  }

  /**
   * Starts the process.
   * @param storeAddress address of the store
   * @param seeds addresses of other routers
   */
  start (storeAddress, seeds) {
    const path = `${this._directory}/${this.name}.ini`
    writeFileSync(path, settings({
      nodeName: this.name,
      zone: this.zone,
      region: this._zones[this.zone],
      zones: this._zones,
      limits: { maxFds: 4_100, memoryMb: 350 },
      listen: { frontend: `${HOST}:${this.port}`, readiness: `${HOST}:${this.readinessPort}`, controlPlane: this.peersAddress },
      metrics: this._metrics,
      platform: { address: storeAddress },
      seeds: seeds.join(','),
      bounds: this._bounds
    }))
    const log = openSync(`${this._directory}/${this.name}.log`, 'a')
    const [program, ...parameters] = runLine()
    this._process = spawn(program === 'node' ? process.execPath : program, parameters, {
      cwd: REPOSITORY, env: { PATH: process.env.PATH, MIMOSAROCK_BOOT: path }, stdio: ['ignore', log, log]
    })
    this.ended = new Promise((resolve) => this._process.once('exit', (code, signal) => {
      this.hasEnded = true
      resolve({ code, signal })
    }))
  }

  /** Resolves when the router is ready; throws if it is not in time. */
  async waitUntilReady () {
    for (let count = 0; count < START_POLLS; count += 1) {
      if (await this.isReady()) return
      await sleep(POLL_MS)
    }
    throw new Error(`${this.name} is not ready`)
  }

  /** Asks as the platform does. */
  isReady () {
    return new Promise((resolve) => {
      get({ host: HOST, port: this.readinessPort, path: '/mimosarock/readyz', agent: false }, (response) => {
        response.resume()
        resolve(response.statusCode === 200)
      }).on('error', () => resolve(false))
    })
  }

  signal (name) {
    if (!this.hasEnded) this._process?.kill(name)
  }
}
