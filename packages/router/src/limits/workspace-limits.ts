import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import { OwnerChoice } from '@mimosarock/placement/owner-choice.js'
import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { WorkspaceLimiter } from './workspace-limiter.js'
import type { LimitGrant } from './limit-grant.js'
import type { LimitRequest } from './limit-request.js'
import type { LimitShortage } from './limit-shortage.js'
import { LimitTimes } from './limit-times.js'
import { LimitAllocator } from './limit-allocator.js'
import type { WorkspaceLimitsOptions } from './workspace-limits-options.js'
import { WorkspaceShare } from './workspace-share.js'

const LIMITS_METHOD = 'limits.take'

/**
 * Enforces each workspace's rate and concurrency limits across the whole fleet. The workspace's home router, selected
 * by rendezvous hashing, grants small batches on demand. Routers therefore need no fixed quota, and messages are sent
 * only for workspaces that have limits and callers.
 *
 * While routers disagree on the home, each home grants up to the limits, in total at most twice the limits. A router
 * that can't reach the home admits an equal part of the limits, but at least one request; the fleet then admits at most
 * twice the limits, or the limits plus one request per router if that is more. While a router holds a free slot as
 * spare, other routers may refuse requests until that router renews.
 *
 * @example
 * const release = await limits.acquire(workspace)
 * try { await run() } finally { release() }
 */
export class WorkspaceLimits implements WorkspaceLimiter {
  private readonly _options: WorkspaceLimitsOptions
  private readonly _allocator: LimitAllocator
  private readonly _shares = new Map<string, WorkspaceShare>()
  private readonly _pendingRequests = new Map<string, Promise<boolean>>()
  private readonly _returnScheduled = new Set<string>()
  private _choice: OwnerChoice<RouterIdentity>

  /**
   * @param options configuration, membership and other dependencies
   */
  constructor (options: WorkspaceLimitsOptions) {
    this._options = options
    this._allocator = new LimitAllocator(options)
    this._choice = new OwnerChoice(options.membership.live())
    options.membership.onChange(() => {
      this._choice = new OwnerChoice(options.membership.live())
      // Reports all slots immediately, because a new home counts only those that routers have reported to it.
      this.renew().catch(() => {})
    })
    options.messenger.handle(LIMITS_METHOD, (params) => this._handleRequest(params))
  }

  /**
   * Admits one request of a workspace; requests a grant from the home router if this router has none left.
   * @param workspace configuration of the workspace with its limits
   * @returns a function that releases the concurrency slot; only its first call has an effect
   * @throws {MimosarockError} RATE_LIMITED or CONCURRENCY_LIMITED, `not-run`
   */
  async acquire (workspace: Workspace): Promise<() => void> {
    if (!isLimited(workspace)) return () => {}
    const name = workspace.name
    const share = this._shareOf(name)
    share.recordArrival()
    const shortage = share.tryTake(workspace) && await this._requestAndTake(workspace, share)
    if (shortage !== undefined) throw limitError(workspace, shortage)
    let released = false
    return () => {
      if (released) return
      released = true
      share.release()
      if (share.hasSurplusSlots) this._scheduleReturn(name)
    }
  }

  /**
   * Renews the slot leases periodically until the signal aborts.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._options.clock.sleep(LimitTimes.RENEW_INTERVAL_MS, signal)
      await this.renew()
    }
  }

  /** Reports the slots in use to each home router, in one message per home, and thereby renews their leases. */
  async renew (): Promise<void> {
    const byHome = new Map<RouterIdentity, string[]>()
    for (const [name, share] of this._shares) {
      const home = this._homeOf(name)
      if (!share.holdsSlots || home === undefined) continue
      byHome.set(home, [...(byHome.get(home) ?? []), name])
    }
    await Promise.all([...byHome].map(async ([home, names]) => await this._callHome(home, names)))
  }

  /** Schedules the return of free slots, batched with those that become free within `LimitTimes.RETURN_DELAY_MS`. */
  private _scheduleReturn (name: string): void {
    if (this._returnScheduled.has(name)) return
    this._returnScheduled.add(name)
    this._options.clock.sleep(LimitTimes.RETURN_DELAY_MS).then(async () => {
      this._returnScheduled.delete(name)
      if (this._shareOf(name).hasSurplusSlots) await this._requestGrant(name)
    })
  }

  private async _requestAndTake (workspace: Workspace, share: WorkspaceShare): Promise<LimitShortage | undefined> {
    if (this._options.clock.now() < share.pausedUntil) return share.shortage(workspace)
    share.addWaiter()
    try {
      // A request already in flight does not include this caller, so a second one is sent if its grant is not enough.
      const joined = this._pendingRequests.has(workspace.name)
      let reached = await this._requestGrant(workspace.name)
      let shortage = share.tryTake(workspace)
      if (joined && shortage !== undefined) {
        reached = await this._requestGrant(workspace.name)
        shortage = share.tryTake(workspace)
      }
      if (shortage === undefined) return undefined
      if (!reached) return share.tryTakeFallback(workspace, this._options.membership.live().length)
      share.pausedUntil = this._options.clock.now() + LimitTimes.REFUSAL_BACKOFF_MS
      return shortage
    } finally {
      share.removeWaiter()
    }
  }

  /** Requests a grant from the home router; concurrent callers share one request. */
  private async _requestGrant (name: string): Promise<boolean> {
    const pending = this._pendingRequests.get(name)
    if (pending !== undefined) return await pending
    const request = this._sendRequest(name).finally(() => this._pendingRequests.delete(name))
    this._pendingRequests.set(name, request)
    return await request
  }

  private async _sendRequest (name: string): Promise<boolean> {
    const home = this._homeOf(name)
    // Builds the request one microtask later, which lets it include the callers that arrive in the meantime.
    await Promise.resolve()
    return home !== undefined && await this._callHome(home, [name])
  }

  private async _callHome (home: RouterIdentity, names: readonly string[]): Promise<boolean> {
    const requests = names.map((name) => this._shareOf(name).buildRequest())
    const self = this._options.membership.self.id
    try {
      const grants = home.id === self
        ? this._allocator.grant(self, requests)
        : await this._options.messenger.call(home.peerAddress, LIMITS_METHOD, [self, requests], LimitTimes.CALL_TIMEOUT_MS) as Array<LimitGrant | null>
      for (const [index, name] of names.entries()) {
        const grant = grants[index]
        if (Array.isArray(grant)) this._shareOf(name).applyGrant(grant as unknown as LimitGrant)
      }
      return true
    } catch {
      return false
    }
  }

  private _handleRequest (params: unknown): unknown {
    const valid = Array.isArray(params) && typeof params[0] === 'string' && Array.isArray(params[1])
    if (!valid) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'malformed limit request')
    return this._allocator.grant(params[0] as string, params[1] as LimitRequest[])
  }

  private _homeOf (name: string): RouterIdentity | undefined {
    return this._choice.ownerOf(`workspace/${name}`)
  }

  private _shareOf (name: string): WorkspaceShare {
    const known = this._shares.get(name)
    if (known !== undefined) return known
    const share = new WorkspaceShare(name, this._options.clock)
    this._shares.set(name, share)
    return share
  }
}

function isLimited (workspace: Workspace): boolean {
  return workspace.requestsPerSecond > 0 || workspace.concurrency > 0
}

function limitError (workspace: Workspace, shortage: LimitShortage): MimosarockError {
  if (shortage === ResultCode.CONCURRENCY_LIMITED) {
    return new MimosarockError(shortage, `workspace ${workspace.name} has reached its limit of ${workspace.concurrency} concurrent requests`, { retryAfterMs: LimitTimes.REFUSAL_BACKOFF_MS })
  }
  const retryAfterMs = Math.max(LimitTimes.REFUSAL_BACKOFF_MS, Math.ceil(1_000 / workspace.requestsPerSecond))
  return new MimosarockError(shortage, `workspace ${workspace.name} has reached its limit of ${workspace.requestsPerSecond} requests per second`, { retryAfterMs })
}
