import { create } from '@bufbuild/protobuf'
import type { Membership } from '@mimosarock/coordination/membership.js'
import type { PeerMessenger } from '@mimosarock/coordination/peer-messenger.js'
import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import { ConfigurationIndex } from '@mimosarock/coordination/configuration-index.js'
import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { WorkspaceLimits } from '../limits/workspace-limits.js'
import { SteppedClock } from './stepped-clock.js'

type Handler = (params: unknown) => unknown

/** Routers connected by an in-memory messenger; a test sets each router's view of the membership separately. */
export class LimitsFleet {
  readonly clock = new SteppedClock()
  readonly limits: WorkspaceLimits[] = []
  /** Number of peer calls sent by all routers. */
  messages = 0
  readonly workspace: Workspace
  /** Ids of routers whose peer calls fail in both directions. */
  readonly unreachable = new Set<string>()
  private readonly _identities: RouterIdentity[]
  private readonly _views: RouterIdentity[][] = []
  private readonly _listeners: Array<() => void> = []
  private readonly _handlers = new Map<string, Handler>()

  constructor (count: number, limits: { requestsPerSecond?: number, concurrency?: number }) {
    this._identities = Array.from({ length: count }, (_, index) => ({
      id: `r${index}`, availabilityZone: 'a', peerAddress: `p${index}`, forwardAddress: '', leaving: false
    }))
    const index = new ConfigurationIndex(create(ConfigurationSchema, { workspaces: [{ name: 'alpha', ...limits }] }), 1, 1)
    this.workspace = index.workspaces.get('alpha') as Workspace
    const configuration = { current: () => index, onChange: () => () => {} }
    for (const self of this._identities) {
      const number = this._views.push([...this._identities]) - 1
      const membership: Membership = {
        self,
        live: () => this._views[number] ?? [],
        onChange: (listener) => {
          this._listeners[number] = listener
          return () => {}
        }
      }
      this.limits.push(new WorkspaceLimits({ configuration, membership, messenger: this._messengerOf(self), clock: this.clock }))
    }
  }

  /** Sets the live routers in the views of some routers, all given by number, and notifies their listeners. */
  async setViews (viewers: readonly number[], seen: readonly number[]): Promise<void> {
    for (const viewer of viewers) {
      this._views[viewer] = this._identities.filter((_, index) => seen.includes(index))
      this._listeners[viewer]?.()
    }
    await new Promise((resolve) => setImmediate(resolve))
  }

  /** Returns the number of the home router of the workspace when all routers are live. */
  homeNumber (routers = this._identities.length): number {
    const probe = new LimitsFleet(routers, { concurrency: 1 })
    return probe._findHome()
  }

  private _findHome (): number {
    const limits = this.limits[0] as unknown as { _homeOf (name: string): RouterIdentity }
    return this._identities.findIndex((identity) => identity.id === limits._homeOf('alpha').id)
  }

  private _messengerOf (self: RouterIdentity): PeerMessenger {
    return {
      handle: (method, handler) => this._handlers.set(`${self.peerAddress}/${method}`, handler),
      call: async (address, method, params) => {
        this.messages += 1
        const target = this._identities.find((identity) => identity.peerAddress === address)
        if (target === undefined || this.unreachable.has(self.id) || this.unreachable.has(target.id)) {
          throw new MimosarockError(ResultCode.PEER_TIMEOUT, 'peer is unreachable')
        }
        const response = await this._handlers.get(`${address}/${method}`)?.(JSON.parse(JSON.stringify(params)))
        return JSON.parse(JSON.stringify(response))
      }
    }
  }
}
