import { request as httpRequest } from 'node:http'
import { createConnection, type Socket } from 'node:net'
import type { GatewaySettings } from '@mimosarock/gateway/settings/gateway-settings.js'
import { Gateway } from '@mimosarock/gateway/wiring/gateway.js'
import { PortReservation } from '@mimosarock/stand-ins/port-reservation.js'
import type { CallerResponse } from './caller-response.js'
import { createConfiguration } from './create-configuration.js'
import type { GatewayFixtureOptions } from './gateway-fixture-options.js'
import { MemoryStore } from './memory-store.js'
import { plainCodec } from './plain-codec.js'
import { STATED_PROPAGATION_BOUNDS } from './stated-propagation-bounds.js'
import { TestEndpoint } from './test-endpoint.js'

/** Router with test endpoints whose behavior each test sets. */
export class GatewayFixture {
  readonly store: MemoryStore
  readonly endpoints: TestEndpoint[]
  readonly lines: { readonly event: string, readonly fields: Readonly<Record<string, unknown>> }[] = []
  readonly clock = { skewMs: 0, now (): number { return performance.now() + 1_000_000 + this.skewMs } }
  private _gateway: Gateway | undefined
  private readonly _stopGraceMs: number
  private readonly _options: GatewayFixtureOptions
  private _settings: GatewaySettings | undefined
  private _ports: PortReservation[] = []
  private _port = 0
  private _readinessPort = 0

  constructor (endpoints: number, stopGraceMs = 1_000, options: GatewayFixtureOptions = {}) {
    this._stopGraceMs = stopGraceMs
    this._options = options
    this.store = options.store ?? new MemoryStore()
    this.endpoints = Array.from({ length: endpoints }, (_, index) => new TestEndpoint(`e${index}`))
  }

  async start (): Promise<void> {
    for (const [index, endpoint] of this.endpoints.entries()) {
      this.store.endpoints.put(endpoint.id, await endpoint.start(this._options.registrations?.[index]))
    }
    if (this._options.store === undefined) this.store.configurations.put('config', createConfiguration(3))
    this._ports = await Promise.all([PortReservation.create(), PortReservation.create(), PortReservation.create()])
    const [callers, readiness, peers] = this._ports.map(({ port }) => port) as [number, number, number]
    this._port = callers
    this._readinessPort = readiness
    const record = (event: string, fields: Readonly<Record<string, unknown>> = {}): void => { this.lines.push({ event, fields }) }
    this._settings = {
      name: this._options.name ?? 'vm',
      availabilityZone: 'z',
      callers: `127.0.0.1:${callers}`,
      readiness: `127.0.0.1:${readiness}`,
      peers: `127.0.0.1:${peers}`,
      metrics: undefined,
      seeds: this._options.seeds?.() ?? [],
      store: '',
      fileDescriptors: 4_000,
      stopGraceMs: this._stopGraceMs,
      keyAgeLimitMs: 5_000,
      propagationBounds: STATED_PROPAGATION_BOUNDS,
      retryRatio: 0.2,
      retryAllowance: 50,
      retryWindowMs: 10_000,
      loadBoundFactor: 2,
      region: undefined,
      regions: {},
      memoryBytes: undefined,
      warmUpOverage: 1,
      warmUpTolerance: 0,
      maximumResponseBytes: 67_108_864,
      grantsSlots: true,
      ejectsOutliers: true,
      ...this._options.settings
    }
    this._gateway = new Gateway({
      settings: this._settings,
      store: this.store,
      codec: plainCodec,
      clock: this.clock,
      log: { info: record, warn: record }
    })
    await this._gateway.start()
  }

  /** Reloads the router's settings with changes. */
  reload (changes: Partial<GatewaySettings>): void {
    this._gateway?.reload({ ...this._settings as GatewaySettings, ...changes })
  }

  /** Stops the router and its endpoints. */
  async stop (): Promise<void> {
    const gateway = this._gateway
    this._gateway = undefined
    await gateway?.stop()
    for (const endpoint of this.endpoints) endpoint.close()
    for (const port of this._ports) port.release()
  }

  /** Address for other routers. */
  get peers (): string {
    return this._settings?.peers ?? ''
  }

  /** Port for callers. */
  get port (): number {
    return this._port
  }

  /** Returns the status of a readiness probe. */
  async readiness (): Promise<number> {
    return (await this._call(this._readinessPort, 'GET', '/ready', {}, '')).status
  }

  /** Sends a request as a caller. */
  async call (method: string, path: string, headers: Record<string, string> = {}, body = ''): Promise<CallerResponse> {
    return await this._call(this._port, method, path, { host: 'h', 'request-id': 'r1', ...headers }, body)
  }

  /** Opens a raw connection to the callers' address. */
  connect (): Socket {
    return createConnection({ port: this._port, host: '127.0.0.1' })
  }

  /** Sends a request and disconnects after a delay. */
  disconnectAfter (ms: number, path: string): void {
    const request = httpRequest({ port: this._port, host: '127.0.0.1', path, headers: { host: 'h', 'request-id': 'r1' }, agent: false })
    request.on('error', () => undefined)
    request.end()
    setTimeout(() => request.destroy(), ms)
  }

  private _call (port: number, method: string, path: string, headers: Record<string, string>, body: string): Promise<CallerResponse> {
    return new Promise((resolve, reject) => {
      const request = httpRequest({ port, host: '127.0.0.1', method, path, headers, agent: false }, (response) => {
        let text = ''
        response.on('data', (chunk: Buffer) => { text += chunk.toString() })
        response.on('error', () => undefined)
        response.on('close', () => resolve({
          status: response.statusCode ?? 0, headers: response.headers, body: text, isWhole: response.complete
        }))
      })
      request.on('error', reject)
      request.end(body)
    })
  }
}
