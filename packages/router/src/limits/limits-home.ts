import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { TokenBucket } from '@mimosarock/placement/token-bucket.js'
import type { LimitGrant } from './limit-grant.js'
import type { LimitRequest } from './limit-request.js'
import { LimitTimes } from './limit-times.js'
import type { LimitsHomeOptions } from './limits-home-options.js'

/** Share of a limit that may be held as spare; beyond it slots are scarce. */
const SPARE_SHARE = 0.25

/** Slots that one router holds, until it is not heard of for too long. */
interface HeldSlots {
  slots: number
  renewedAt: number
}

/** Grants of one workspace. */
interface HomeState {
  readonly bucket: TokenBucket
  readonly held: Map<string, HeldSlots>
}

/**
 * Grants tokens and slots of the workspaces whose home this router is. A new home starts without a burst, and
 * takes the slots that routers report as held even beyond the limit, since they are in use already.
 */
export class LimitsHome {
  private readonly _options: LimitsHomeOptions
  private readonly _states = new Map<string, HomeState>()

  /**
   * @param options what it works with
   */
  constructor (options: LimitsHomeOptions) {
    this._options = options
  }

  /**
   * Answers a router's requests.
   * @param routerId the router
   * @param requests what it wants, one for each workspace
   * @returns a grant for each request; undefined where the workspace is not known here
   */
  grant (routerId: string, requests: readonly LimitRequest[]): Array<LimitGrant | undefined> {
    this._forgetRemoved()
    return requests.map(([name, slots, tokens, spareSlots]) => {
      const workspace = this._options.configuration.current()?.workspaces.get(name)
      if (workspace === undefined) return undefined
      const state = this._stateOf(workspace)
      const [granted, scarce] = this._grantSlots(workspace, state, routerId, slots, spareSlots)
      return [granted, this._grantTokens(workspace, state, tokens), scarce]
    })
  }

  private _stateOf (workspace: Workspace): HomeState {
    const perSecond = workspace.requestsPerSecond
    const burst = Math.max(1, perSecond)
    let state = this._states.get(workspace.name)
    if (state === undefined) {
      // What an earlier home gave away is not known here, so a new one starts with the least that lets a request pass.
      const bucket = new TokenBucket(perSecond, 1, this._options.clock)
      state = { bucket, held: new Map() }
      this._states.set(workspace.name, state)
    }
    state.bucket.setRate(perSecond, burst)
    return state
  }

  private _grantTokens (workspace: Workspace, state: HomeState, wanted: number): number {
    if (workspace.requestsPerSecond <= 0) return wanted
    return state.bucket.takeUpTo(wanted)
  }

  private _grantSlots (workspace: Workspace, state: HomeState, routerId: string, wanted: number, spare: number): [slots: number, scarce: number] {
    const limit = workspace.concurrency
    if (limit === 0) return [wanted, 0]
    const others = this._heldByOthers(state, routerId)
    const before = state.held.get(routerId)?.slots ?? 0
    const needed = Math.min(wanted, Math.max(limit - others, before))
    const unused = limit * SPARE_SHARE - others - needed
    const slots = needed + Math.max(0, Math.min(spare, Math.floor(unused)))
    if (slots > 0) state.held.set(routerId, { slots, renewedAt: this._options.clock.now() })
    else state.held.delete(routerId)
    return [slots, unused < 0 ? 1 : 0]
  }

  private _heldByOthers (state: HomeState, routerId: string): number {
    const oldest = this._options.clock.now() - LimitTimes.SLOT_LEASE_MS
    let others = 0
    for (const [holder, held] of state.held) {
      if (held.renewedAt < oldest) state.held.delete(holder)
      else if (holder !== routerId) others += held.slots
    }
    return others
  }

  private _forgetRemoved (): void {
    const configuration = this._options.configuration.current()
    if (configuration === undefined || this._states.size <= configuration.workspaces.size) return
    for (const name of this._states.keys()) {
      if (!configuration.workspaces.has(name)) this._states.delete(name)
    }
  }
}
