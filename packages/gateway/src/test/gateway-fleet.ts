import { createConfiguration } from './create-configuration.js'
import { GatewayFixture } from './gateway-fixture.js'
import { MemoryStore } from './memory-store.js'
import { TestEndpoint } from './test-endpoint.js'

/** Routers that know each other, and the endpoints and the store that they share. */
export class GatewayFleet {
  readonly store = new MemoryStore()
  readonly endpoints: readonly TestEndpoint[]
  readonly routers: GatewayFixture[] = []
  private readonly _routerCount: number
  private readonly _reachEachOther: boolean

  /**
   * @param routerCount number of routers
   * @param endpointCount number of endpoints
   * @param reachEachOther whether the routers reach each other, or only the store
   */
  constructor (routerCount: number, endpointCount: number, reachEachOther = true) {
    this._routerCount = routerCount
    this._reachEachOther = reachEachOther
    this.endpoints = Array.from({ length: endpointCount }, (_, index) => new TestEndpoint(`e${index}`))
  }

  async start (): Promise<void> {
    this.store.configurations.put('config', createConfiguration(3))
    if (!this._reachEachOther) this.store.announce = async () => undefined
    await this.restartEndpoints()
    for (let index = 0; index < this._routerCount; index += 1) await this.addRouter()
  }

  /** Starts one more router. */
  async addRouter (): Promise<GatewayFixture> {
    const seeds = (): string[] => this._reachEachOther ? this.routers.slice(0, 1).map(({ peers }) => peers) : []
    const router = new GatewayFixture(0, 1_000, { name: `vm${this.routers.length}`, store: this.store, seeds })
    await router.start()
    this.routers.push(router)
    return router
  }

  /** Starts the endpoints that do not run, each as a new incarnation. */
  async restartEndpoints (): Promise<void> {
    for (const endpoint of this.endpoints) {
      if (!endpoint.isRunning) this.store.endpoints.put(endpoint.id, await endpoint.start())
    }
  }

  /** Number of requests that reached endpoints and satisfy a condition on their prompt and body. */
  arrivals (matches: (prompt: string, body: string) => boolean): number {
    const requests = this.endpoints.flatMap((endpoint) => endpoint.requests)
    return requests.filter(({ headers, body }) => matches(String(headers.prompt ?? ''), body)).length
  }

  async stop (): Promise<void> {
    for (const router of this.routers) await router.stop()
    for (const endpoint of this.endpoints) endpoint.close()
  }
}
