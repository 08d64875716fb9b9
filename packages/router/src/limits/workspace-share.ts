import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { Clock } from '@mimosarock/coordination/clock.js'
import { TokenBucket } from '@mimosarock/placement/token-bucket.js'
import type { LimitGrant } from './limit-grant.js'
import type { LimitRequest } from './limit-request.js'
import type { LimitShortage } from './limit-shortage.js'
import { LimitTimes } from './limit-times.js'

/** Part of a second for which a router asks tokens in advance, by its demand of the last second. */
const TOKENS_AHEAD_S = 0.25
/** Share of the slots in use that is asked in advance. */
const SLOTS_AHEAD = 0.25
/** Weight of a new sample in the demand. */
const DEMAND_WEIGHT = 0.3

/** What one router holds of one workspace's limits. */
export class WorkspaceShare {
  private readonly _clock: Clock
  private readonly _workspace: string
  private _slots = 0
  private _scarce = false
  private _inUse = 0
  private _tokens = 0
  private _tokensAt = -Infinity
  private _arrivals = 0
  private _arrivalsAt: number
  private _perSecond = 0
  private _waiting = 0
  private _fallback: TokenBucket | undefined

  /**
   * @param workspace name of the workspace
   * @param clock source of time
   */
  constructor (workspace: string, clock: Clock) {
    this._workspace = workspace
    this._clock = clock
    this._arrivalsAt = clock.now()
  }

  /** Time of the last refusal or failure; the home is not asked again at once. */
  pausedUntil = -Infinity

  /** Whether the home must be told of slots. */
  get holdsSlots (): boolean {
    return this._slots > 0 || this._inUse > 0
  }

  /** Whether slots are free here that other routers may need at once. */
  get owesSlots (): boolean {
    return this._scarce && this._slots > this._inUse + this._waiting
  }

  /** Notes a request, for the estimate of demand. */
  noteArrival (): void {
    this._arrivals += 1
    const ms = this._clock.now() - this._arrivalsAt
    if (ms < 1_000) return
    this._perSecond += (this._arrivals * 1_000 / ms - this._perSecond) * DEMAND_WEIGHT
    this._arrivals = 0
    this._arrivalsAt = this._clock.now()
  }

  /**
   * Takes one token and one slot of what was granted.
   * @param workspace the limits; a limit of 0 is none
   * @returns undefined if both were there, else the limit that is reached
   */
  tryTake (workspace: Workspace): LimitShortage | undefined {
    const shortage = this.shortage(workspace)
    if (shortage !== undefined) return shortage
    if (workspace.requestsPerSecond > 0) this._tokens -= 1
    this._inUse += 1
    return undefined
  }

  /**
   * The limit for which nothing granted is left.
   * @param workspace the limits
   */
  shortage (workspace: Workspace): LimitShortage | undefined {
    if (workspace.concurrency > 0 && this._inUse >= this._slots) return ResultCode.CONCURRENCY_LIMITED
    if (workspace.requestsPerSecond > 0 && !this._hasToken()) return ResultCode.RATE_LIMITED
    return undefined
  }

  /**
   * Takes one of this router's equal part of the limits, for when the home can't be reached.
   * @param workspace the limits
   * @param routers number of live routers
   * @returns undefined if it was there, else the limit that is reached
   */
  tryTakeFallback (workspace: Workspace, routers: number): LimitShortage | undefined {
    const slots = Math.max(1, Math.floor(workspace.concurrency / routers))
    if (workspace.concurrency > 0 && this._inUse >= Math.max(slots, this._slots)) return ResultCode.CONCURRENCY_LIMITED
    const perSecond = workspace.requestsPerSecond / routers
    this._fallback ??= new TokenBucket(perSecond, 1, this._clock)
    this._fallback.setRate(perSecond, Math.max(1, perSecond))
    if (workspace.requestsPerSecond > 0 && !this._fallback.tryTake(1)) return ResultCode.RATE_LIMITED
    this._inUse += 1
    return undefined
  }

  /** Gives the slot back. */
  release (): void {
    this._inUse -= 1
  }

  /** Notes a caller that waits for a grant. */
  startWait (): void {
    this._waiting += 1
  }

  /** Notes the end of a wait. */
  endWait (): void {
    this._waiting -= 1
  }

  /** What to ask of the home now. */
  request (): LimitRequest {
    const wanted = this._inUse + this._waiting
    const spareSlots = this._waiting > 0 ? Math.ceil(wanted * SLOTS_AHEAD) : 0
    const tokens = this._waiting > 0 ? Math.max(this._waiting, Math.ceil(this._perSecond * TOKENS_AHEAD_S)) : 0
    return [this._workspace, wanted, tokens, spareSlots]
  }

  /**
   * Takes a grant.
   * @param grant what the home gave
   */
  take (grant: LimitGrant): void {
    this._slots = grant[0]
    this._scarce = grant[2] === 1
    if (grant[1] === 0) return
    this._tokens = (this._hasToken() ? this._tokens : 0) + grant[1]
    this._tokensAt = this._clock.now()
  }

  private _hasToken (): boolean {
    return this._tokens >= 1 && this._clock.now() - this._tokensAt <= LimitTimes.TOKEN_MS
  }
}
