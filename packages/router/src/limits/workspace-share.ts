import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { Clock } from '@mimosarock/coordination/clock.js'
import { TokenBucket } from '@mimosarock/placement/token-bucket.js'
import type { LimitGrant } from './limit-grant.js'
import type { LimitRequest } from './limit-request.js'
import type { LimitShortage } from './limit-shortage.js'
import { LimitTimes } from './limit-times.js'

/** Seconds of demand for which a router prefetches tokens; the demand is a moving average of its request rate. */
const TOKEN_PREFETCH_S = 0.25
/** Spare slots requested in advance, as a fraction of the slots in use or waited for. */
const SLOT_PREFETCH_FRACTION = 0.25
/** Weight of a new sample in the exponential moving average of the demand. */
const DEMAND_SAMPLE_WEIGHT = 0.3

/** The slots and tokens of one workspace that its home router has granted to this router. */
export class WorkspaceShare {
  private readonly _clock: Clock
  private readonly _workspace: string
  private _slots = 0
  private _scarce = false
  private _inUse = 0
  private _tokens = 0
  private _tokensGrantedAt = -Infinity
  private _arrivals = 0
  private _arrivalsSince: number
  private _demandPerSecond = 0
  private _waiting = 0
  private _fallbackBucket: TokenBucket | undefined

  /**
   * @param workspace name of the workspace
   * @param clock monotonic clock for the expiry of tokens and the estimate of demand
   */
  constructor (workspace: string, clock: Clock) {
    this._workspace = workspace
    this._clock = clock
    this._arrivalsSince = clock.now()
  }

  /** End of the backoff after a refusal, in monotonic milliseconds; no grant is requested before it. */
  pausedUntil = -Infinity

  /** Whether slots are held or in use and must be renewed at the home router. */
  get holdsSlots (): boolean {
    return this._slots > 0 || this._inUse > 0
  }

  /** Whether this router holds free slots while slots are scarce and other routers may need them. */
  get hasSurplusSlots (): boolean {
    return this._scarce && this._slots > this._inUse + this._waiting
  }

  /** Counts a request for the estimate of demand. */
  recordArrival (): void {
    this._arrivals += 1
    const elapsedMs = this._clock.now() - this._arrivalsSince
    if (elapsedMs < 1_000) return
    this._demandPerSecond += (this._arrivals * 1_000 / elapsedMs - this._demandPerSecond) * DEMAND_SAMPLE_WEIGHT
    this._arrivals = 0
    this._arrivalsSince = this._clock.now()
  }

  /**
   * Takes one granted token and one granted slot.
   * @param workspace the workspace with its limits; a limit of 0 means unlimited
   * @returns undefined on success, otherwise the exhausted limit
   */
  tryTake (workspace: Workspace): LimitShortage | undefined {
    const shortage = this.shortage(workspace)
    if (shortage !== undefined) return shortage
    if (workspace.requestsPerSecond > 0) this._tokens -= 1
    this._inUse += 1
    return undefined
  }

  /**
   * Returns the limit whose granted slots or tokens are exhausted; undefined if there is none.
   * @param workspace the workspace with its limits
   */
  shortage (workspace: Workspace): LimitShortage | undefined {
    if (workspace.concurrency > 0 && this._inUse >= this._slots) return ResultCode.CONCURRENCY_LIMITED
    if (workspace.requestsPerSecond > 0 && !this._hasToken()) return ResultCode.RATE_LIMITED
    return undefined
  }

  /**
   * Admits one request within this router's equal part of the limits, used while the home router can't be reached.
   * @param workspace the workspace with its limits
   * @param routers number of live routers
   * @returns undefined on success, otherwise the exhausted limit
   */
  tryTakeFallback (workspace: Workspace, routers: number): LimitShortage | undefined {
    const slots = Math.max(1, Math.floor(workspace.concurrency / routers))
    if (workspace.concurrency > 0 && this._inUse >= Math.max(slots, this._slots)) return ResultCode.CONCURRENCY_LIMITED
    const perSecond = workspace.requestsPerSecond / routers
    this._fallbackBucket ??= new TokenBucket(perSecond, 1, this._clock)
    this._fallbackBucket.setRate(perSecond, Math.max(1, perSecond))
    if (workspace.requestsPerSecond > 0 && !this._fallbackBucket.tryTake(1)) return ResultCode.RATE_LIMITED
    this._inUse += 1
    return undefined
  }

  /** Releases one slot. */
  release (): void {
    this._inUse -= 1
  }

  /** Counts a caller that starts to wait for a grant. */
  addWaiter (): void {
    this._waiting += 1
  }

  /** Counts a caller that has stopped waiting for a grant. */
  removeWaiter (): void {
    this._waiting -= 1
  }

  /** Builds the request to the home router from the current usage, the waiting callers and the demand. */
  buildRequest (): LimitRequest {
    const wanted = this._inUse + this._waiting
    const spareSlots = this._waiting > 0 ? Math.ceil(wanted * SLOT_PREFETCH_FRACTION) : 0
    const tokens = this._waiting > 0 ? Math.max(this._waiting, Math.ceil(this._demandPerSecond * TOKEN_PREFETCH_S)) : 0
    return [this._workspace, wanted, tokens, spareSlots]
  }

  /**
   * Applies a grant: replaces the slots and adds the tokens to the ones that have not expired.
   * @param grant the home router's response
   */
  applyGrant (grant: LimitGrant): void {
    this._slots = grant[0]
    this._scarce = grant[2] === 1
    if (grant[1] === 0) return
    this._tokens = (this._hasToken() ? this._tokens : 0) + grant[1]
    this._tokensGrantedAt = this._clock.now()
  }

  private _hasToken (): boolean {
    return this._tokens >= 1 && this._clock.now() - this._tokensGrantedAt <= LimitTimes.TOKEN_LIFETIME_MS
  }
}
