import { create } from '@bufbuild/protobuf'
import { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Membership } from '@mimosarock/coordination/membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'
import type { PoolSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationSchema, PlacementGoal } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { DispatchCall } from '../forward/dispatch-call.js'
import type { CacheIndex } from '../contexts/cache-index.js'
import { ConfiguredOwners } from '../owner/configured-owners.js'
import type { EndpointStateSource } from '../watch/endpoint-state-source.js'
import type { EndpointClients } from '../watch/endpoint-clients.js'
import type { PlacementComponents } from '../wiring/placement-components.js'
import { RouterSettings } from '../settings/router-settings.js'
import { wirePlacement } from '../wiring/wire-placement.js'
import { SteppedClock } from './stepped-clock.js'

interface FleetMember {
  readonly self: RouterIdentity
  readonly components: PlacementComponents
  readonly owners: ConfiguredOwners
  live: RouterIdentity[]
  readonly listeners: Array<() => void>
}

const address = '127.0.0.1:1'

/** Placement components of several routers, connected by an in-memory messenger, in front of one pool of engines. */
export class AdmissionFleet {
  readonly clock = new SteppedClock()
  readonly members: FleetMember[] = []
  /** Context imports requested from engines, as text: target, cache key and source. */
  readonly imports: string[] = []
  /** Peer addresses of routers whose peer calls fail in both directions. */
  readonly unreachable = new Set<string>()
  /** Endpoints that are reported as failed. */
  readonly failed = new Set<string>()
  /** Cache indexes of endpoints, as derived from their cache events, by endpoint name. */
  readonly caches = new Map<string, CacheIndex>()
  readonly reportListeners: Array<Parameters<EndpointStateSource['onLoadReport']>[0]> = []
  private readonly _handlers = new Map<string, (params: unknown) => unknown>()

  constructor (routers: number, engines: number, pool: MessageInitShape<typeof PoolSchema> = {}) {
    const identities = Array.from({ length: routers }, (_, index): RouterIdentity => ({
      id: `r${index}`, availabilityZone: 'a', peerAddress: `p${index}`, forwardAddress: '', leaving: false
    }))
    const endpoints = Array.from({ length: engines }, (_, index) => ({ name: `e${index}`, address: `address-${index}`, availabilityZone: 'a', capacity: 16 }))
    const index = new ConfigurationIndex(create(ConfigurationSchema, {
      workspaces: [{ name: 'alpha' }],
      pools: [{ name: 'chat', loadMultiple: 1.25, goal: PlacementGoal.SKEW, endpoints, ...pool }]
    }), 1, 1)
    const configuration = { current: () => index, onChange: () => () => {} }
    for (const self of identities) this.members.push(this._createMember(self, [...identities], configuration))
    for (const member of this.members) member.components.admissions.update()
  }

  /** Sets the live routers in one router's view of the membership and notifies its listeners. */
  setView (viewer: number, seen: readonly number[]): void {
    const member = this.member(viewer)
    member.live = seen.map((index) => this.member(index).self)
    for (const listener of member.listeners) listener()
  }

  member (index: number): FleetMember {
    return this.members[index] as FleetMember
  }

  /** Returns the router that owns an endpoint, by the view of the first router. */
  ownerOf (endpoint: string): FleetMember {
    const id = this.member(0).owners.ownerOf('chat', endpoint)?.id
    return this.members.find((member) => member.self.id === id) as FleetMember
  }

  call (changes: Partial<DispatchCall>): DispatchCall {
    return {
      requestId: 'q1',
      pool: 'chat',
      endpoint: 'e0',
      workspace: 'alpha',
      route: 'chat',
      affinityKey: 'aaaaaaaaaaaaaaaa',
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {},
      body: undefined,
      remainingMs: 10_000,
      waitMs: 0,
      load: 1,
      promptTokens: 10_000,
      attempt: 0,
      ...changes
    }
  }

  /** Records at an endpoint's owner that the endpoint holds a chat's context. */
  addHeldContext (endpoint: string, affinityKey: string): void {
    this.ownerOf(endpoint).components.admissions.heldContextsOf('chat', endpoint)?.recordContext(affinityKey, 10_000)
  }

  private _createMember (self: RouterIdentity, live: RouterIdentity[], configuration: { current: () => ConfigurationIndex, onChange: () => () => void }): FleetMember {
    const listeners: Array<() => void> = []
    const state = { live }
    const membership: Membership = {
      self,
      live: () => state.live,
      onChange: (listener) => {
        listeners.push(listener)
        return () => {}
      }
    }
    const owners = new ConfiguredOwners(configuration, membership)
    const components = wirePlacement({
      settings: RouterSettings.parse({
        router: { availability_zone: 'a' },
        callers: { address },
        forwards: { address },
        peers: { address },
        operators: { address },
        platform: { log_service_url: 'http://127.0.0.1:1', vm_list_url: 'http://127.0.0.1:1' },
        placement: { cache_bytes_per_token: 100 }
      }).placement,
      configuration,
      membership,
      messenger: this._messengerOf(self),
      owners,
      endpointStates: {
        availability: (_, endpoint) => this.failed.has(endpoint) ? EndpointAvailability.FAILED : EndpointAvailability.LIVE,
        cacheIndex: (_, endpoint) => this.caches.get(endpoint),
        onLoadReport: (listener) => { this.reportListeners.push(listener) }
      },
      clients: this._clients(),
      clock: this.clock,
      eventLog: new SilentEventLog()
    })
    return {
      self,
      components,
      owners,
      listeners,
      get live () { return state.live },
      set live (value) { state.live = value }
    }
  }

  private _clients (): EndpointClients {
    const get = (target: string): unknown => ({
      send: async (request: { body: Uint8Array }) => {
        const body = JSON.parse(Buffer.from(request.body).toString()) as { cache_key: string, source: string }
        this.imports.push(`${target} ${body.cache_key} ${body.source}`)
        const response = Buffer.from(JSON.stringify({ tokens: 10_000, bytes: 1_000_000 }))
        return { status: 200, headers: {}, body: (async function * () { yield response })() }
      }
    })
    return { get } as unknown as EndpointClients
  }

  private _messengerOf (self: RouterIdentity): PeerMessenger {
    return {
      handle: (method, handler) => this._handlers.set(`${self.peerAddress}/${method}`, handler),
      call: async (peerAddress, method, params) => {
        if (this.unreachable.has(peerAddress) || this.unreachable.has(self.peerAddress)) throw new Error('peer is unreachable')
        const response = await this._handlers.get(`${peerAddress}/${method}`)?.(JSON.parse(JSON.stringify(params)))
        return JSON.parse(JSON.stringify(response))
      }
    }
  }
}
