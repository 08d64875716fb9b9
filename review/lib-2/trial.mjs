import { mkdtempSync, rmSync, writeFileSync, appendFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { Router } from './router.mjs'
import { Store } from './store.mjs'

const SETTLING_MS = 2_500

/** Exit codes of a script. */
export const Verdict = { HELD: 0, BROKEN: 1, NOT_RUN: 2 }

/** One run of a case: the store, the servers and the routers, and the record of what happens. */
export class Trial {
  #startedAt = performance.now()
  #recordPath

  /**
   * @param folder folder of the case, for the record
   */
  constructor (folder) {
    this.#recordPath = `${folder}/record.txt`
    this.hasTrouble = process.env.TROUBLE !== '0'
    this.directory = mkdtempSync(`${tmpdir()}/review-`)
    // Each run has addresses of its own, since the port of the metrics is fixed.
    this.subnet = `127.${10 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}`
    this.store = new Store()
    this.backends = []
    this.routers = []
    writeFileSync(this.#recordPath, `disruption: ${this.hasTrouble ? 'yes' : 'no'}\n`)
  }

  /** Starts the store, the servers and the routers with a configuration. */
  async start ({ configuration, backends, routerCount }) {
    await this.store.start(`${this.subnet}.1`)
    this.store.putConfiguration(configuration)
    for (const backend of backends) await backend.start(`${this.subnet}.1`, this.store)
    this.backends = backends
    this.routers = Array.from({ length: routerCount }, (_, index) => {
      return new Router({ name: `edge-${index + 1}`, ip: `${this.subnet}.${11 + index}`, zone: 'abc'[index % 3], directory: this.directory })
    })
    for (const router of this.routers) await router.reservePorts()
    await Promise.all(this.routers.map((router) => router.start(this.store.address, this.#seeds)))
    await sleep(SETTLING_MS)
    this.note('all routers are ready')
  }

  /** Starts a router again whose process has ended, as the platform does. */
  async restart (router) {
    this.launch(router)
    await router.untilReady()
    await sleep(SETTLING_MS)
    this.note(`${router.name} is ready again`)
  }

  /** Starts the process of a router. */
  launch (router) {
    router.launch(this.store.address, this.#seeds)
  }

  get #seeds () {
    return this.routers.map(({ peers }) => peers).slice(0, 3)
  }

  /** Writes a line to the record. */
  note (text) {
    appendFileSync(this.#recordPath, `${((performance.now() - this.#startedAt) / 1_000).toFixed(3)} ${text}\n`)
  }

  /** Ends all processes and servers. */
  async end () {
    await Promise.all(this.routers.map((router) => router.end()))
    for (const backend of this.backends) backend.stop()
    this.store.stop()
    rmSync(this.directory, { recursive: true, force: true })
  }

  /** Runs a case and exits with its verdict. */
  static async run (folder, play) {
    const trial = new Trial(folder)
    let verdict = Verdict.NOT_RUN
    try {
      verdict = await play(trial)
    } catch (error) {
      trial.note(`the case could not run: ${error.stack}`)
    }
    if (process.env.KEEP_LOGS === '1') trial.note(`logs are kept in ${trial.directory}`)
    await trial.end()
    trial.note(`exit ${verdict}`)
    process.exit(verdict)
  }
}

/** Resolves after a time. */
export function sleep (ms) {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
