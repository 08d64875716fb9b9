import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '@mimosarock/coordination/clock.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import { PlainServiceFaults } from './plain-service-faults.js'
import type { PlainServiceOptions } from './plain-service-options.js'
import { readBody } from './read-body.js'
import { sendJson } from './send-json.js'
import { StandInServer } from './stand-in-server.js'

const RUNS_PATH = /^\/v1\/runs\/([^/]+)$/

/**
 * Simulates a plain service and counts the runs of every Idempotency-Key. The response to a call is a JSON object with
 * the name of the service, the method, path, key and body length of the request, and the run count of the key.
 */
export class PlainServiceStandIn {
  /** Faults to inject; none are active at first. */
  readonly faults = new PlainServiceFaults()
  /** HTTP server, for its connection faults. */
  readonly server = new StandInServer((request, response) => this._serve(request, response))
  private readonly _clock: Clock
  private readonly _capacity: number
  private readonly _name: string
  private readonly _runCounts = new Map<string, number>()
  /** Values of the `x-call-id` header in the runs of each key. */
  private readonly _callIds = new Map<string, string[]>()
  private _running = 0
  private _totalRuns = 0

  /**
   * @param options clock, reported capacity and name of the service
   */
  constructor (options: PlainServiceOptions = {}) {
    this._clock = options.clock ?? new SystemClock()
    this._capacity = options.capacity ?? 16
    this._name = options.name ?? 'plain'
  }

  /** IP address and port; valid once started. */
  get address (): string {
    return this.server.address
  }

  /** Total number of runs, with and without a key. */
  get totalRuns (): number {
    return this._totalRuns
  }

  /** Keys that have run more than once. */
  get repeatedKeys (): readonly string[] {
    return [...this._runCounts].filter(([, runs]) => runs > 1).map(([key]) => key)
  }

  /**
   * Returns the number of runs of a key.
   * @param key value of the Idempotency-Key header
   */
  runsOf (key: string): number {
    return this._runCounts.get(key) ?? 0
  }

  /**
   * Returns the values of the `x-call-id` header in the runs of a key, one for each run that had the header.
   * @param key value of the Idempotency-Key header
   */
  callIdsOf (key: string): readonly string[] {
    return this._callIds.get(key) ?? []
  }

  /** Starts the HTTP server. */
  async start (): Promise<void> {
    await this.server.start()
  }

  /** Stops the HTTP server and closes its connections. */
  async stop (): Promise<void> {
    await this.server.stop()
  }

  private async _serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://service')
    const statusKey = RUNS_PATH.exec(url.pathname)?.[1]
    if (this.faults.failing) sendJson(response, 500, { error: 'failing' })
    else if (url.pathname === '/healthz') sendJson(response, 200, {})
    else if (url.pathname === '/v1/load') sendJson(response, 200, this._load())
    else if (statusKey !== undefined) sendJson(response, 200, { runs: this.runsOf(decodeURIComponent(statusKey)) })
    else await this._serveCall(request, response)
  }

  private async _serveCall (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    if (this.server.isSilenced(request) || this._consumeFault('silentCalls')) return
    if (this.faults.refusing) {
      sendJson(response, 503, { error: 'refusing' })
      return
    }
    const header = request.headers['idempotency-key']
    const key = typeof header === 'string' ? header : undefined
    if (key !== undefined && this.faults.refusesRepeats && this.runsOf(key) > 0) {
      sendJson(response, 409, { error: 'this key ran before', runs: this.runsOf(key) })
      return
    }
    const callId = request.headers['x-call-id']
    if (key !== undefined && typeof callId === 'string') this._callIds.set(key, [...this.callIdsOf(key), callId])
    const run = await this._run(key)
    if (this._consumeFault('lostAnswers')) response.destroy()
    else if (!this._consumeFault('silentAnswers')) sendJson(response, 200, { service: this._name, method: request.method, path: request.url, key, bytes: body.length, run })
  }

  /** Runs a call. The run is counted before its delay; a caller that disconnects meanwhile does not undo it. */
  private async _run (key: string | undefined): Promise<number> {
    this._totalRuns += 1
    const runs = key === undefined ? 1 : this.runsOf(key) + 1
    if (key !== undefined) this._runCounts.set(key, runs)
    this._running += 1
    if (this.faults.delayMs > 0) await this._clock.sleep(this.faults.delayMs)
    this._running -= 1
    return runs
  }

  private _load (): unknown {
    return {
      running: Math.min(this._running, this._capacity),
      waiting: Math.max(this._running - this._capacity, 0),
      capacity: this._capacity,
      cached_tokens: 0,
      cache_limit_tokens: 0
    }
  }

  private _consumeFault (fault: 'lostAnswers' | 'silentAnswers' | 'silentCalls'): boolean {
    if (this.faults[fault] <= 0) return false
    this.faults[fault] -= 1
    return true
  }
}
