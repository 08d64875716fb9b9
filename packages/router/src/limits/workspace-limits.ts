import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import { OwnerChoice } from '@mimosarock/placement/owner-choice.js'
import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { WorkspaceGate } from './workspace-gate.js'
import type { LimitGrant } from './limit-grant.js'
import type { LimitRequest } from './limit-request.js'
import type { LimitShortage } from './limit-shortage.js'
import { LimitTimes } from './limit-times.js'
import { LimitsHome } from './limits-home.js'
import type { WorkspaceLimitsOptions } from './workspace-limits-options.js'
import { WorkspaceShare } from './workspace-share.js'

const METHOD = 'limits.take'

/**
 * Holds each workspace's rate and concurrency over the whole fleet. The workspace's home router, chosen by
 * rendezvous, grants small batches on demand, so a router needs no share of its own and a message is sent
 * only for workspaces that have limits and callers.
 *
 * While routers disagree on the home, each home grants up to the limits: at most twice of them. While a home
 * can't be reached, each router that can't reach it admits an equal part, at least one: at most twice the
 * limits, or the limits and one for each router. A free slot that a router holds in reserve may be refused
 * elsewhere until that router renews.
 *
 * @example
 * const release = await limits.enter(workspace)
 * try { await run() } finally { release() }
 */
export class WorkspaceLimits implements WorkspaceGate {
  private readonly _options: WorkspaceLimitsOptions
  private readonly _home: LimitsHome
  private readonly _shares = new Map<string, WorkspaceShare>()
  private readonly _calls = new Map<string, Promise<boolean>>()
  private readonly _returning = new Set<string>()
  private _choice: OwnerChoice<RouterIdentity>

  /**
   * @param options what it works with
   */
  constructor (options: WorkspaceLimitsOptions) {
    this._options = options
    this._home = new LimitsHome(options)
    this._choice = new OwnerChoice(options.membership.live())
    options.membership.onChange(() => {
      this._choice = new OwnerChoice(options.membership.live())
      // A new home counts only the slots that it was told of.
      this.renew().catch(() => {})
    })
    options.messenger.handle(METHOD, (params) => this._answer(params))
  }

  /**
   * Takes one request of a workspace's limits.
   * @param workspace the workspace with its limits
   * @returns gives the slot back; only the first call counts
   * @throws {MimosarockError} RATE_LIMITED or CONCURRENCY_LIMITED, `not-run`
   */
  async enter (workspace: Workspace): Promise<() => void> {
    if (!isLimited(workspace)) return () => {}
    const name = workspace.name
    const share = this._shareOf(name)
    share.noteArrival()
    const shortage = share.tryTake(workspace) && await this._askAndTake(workspace, share)
    if (shortage !== undefined) throw refusal(workspace, shortage)
    let released = false
    return () => {
      if (released) return
      released = true
      share.release()
      if (share.owesSlots) this._returnSoon(name)
    }
  }

  /**
   * Renews the slots until the signal aborts.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._options.clock.sleep(LimitTimes.RENEW_MS, signal)
      await this.renew()
    }
  }

  /** Tells each home which slots are in use, in one call for each home. */
  async renew (): Promise<void> {
    const byHome = new Map<RouterIdentity, string[]>()
    for (const [name, share] of this._shares) {
      const home = this._homeOf(name)
      if (!share.holdsSlots || home === undefined) continue
      byHome.set(home, [...(byHome.get(home) ?? []), name])
    }
    await Promise.all([...byHome].map(async ([home, names]) => await this._call(home, names)))
  }

  /** Returns free slots together with those that become free in the next moments. */
  private _returnSoon (name: string): void {
    if (this._returning.has(name)) return
    this._returning.add(name)
    this._options.clock.sleep(LimitTimes.RETURN_MS).then(async () => {
      this._returning.delete(name)
      if (this._shareOf(name).owesSlots) await this._ask(name)
    })
  }

  private async _askAndTake (workspace: Workspace, share: WorkspaceShare): Promise<LimitShortage | undefined> {
    if (this._options.clock.now() < share.pausedUntil) return share.shortage(workspace)
    share.startWait()
    try {
      // A call that was under way did not ask for this request, so it gets one of its own if need be.
      const joined = this._calls.has(workspace.name)
      let reached = await this._ask(workspace.name)
      let shortage = share.tryTake(workspace)
      if (joined && shortage !== undefined) {
        reached = await this._ask(workspace.name)
        shortage = share.tryTake(workspace)
      }
      if (shortage === undefined) return undefined
      if (!reached) return share.tryTakeFallback(workspace, this._options.membership.live().length)
      share.pausedUntil = this._options.clock.now() + LimitTimes.PAUSE_MS
      return shortage
    } finally {
      share.endWait()
    }
  }

  /** Asks the home once for all callers that wait at the same time. */
  private async _ask (name: string): Promise<boolean> {
    const running = this._calls.get(name)
    if (running !== undefined) return await running
    const call = this._askHome(name).finally(() => this._calls.delete(name))
    this._calls.set(name, call)
    return await call
  }

  private async _askHome (name: string): Promise<boolean> {
    const home = this._homeOf(name)
    // Callers of this turn of the event loop share the call.
    await Promise.resolve()
    return home !== undefined && await this._call(home, [name])
  }

  private async _call (home: RouterIdentity, names: readonly string[]): Promise<boolean> {
    const requests = names.map((name) => this._shareOf(name).request())
    const self = this._options.membership.self.id
    try {
      const grants = home.id === self
        ? this._home.grant(self, requests)
        : await this._options.messenger.call(home.peerAddress, METHOD, [self, requests], LimitTimes.CALL_MS) as Array<LimitGrant | null>
      for (const [index, name] of names.entries()) {
        const grant = grants[index]
        if (Array.isArray(grant)) this._shareOf(name).take(grant as unknown as LimitGrant)
      }
      return true
    } catch {
      return false
    }
  }

  private _answer (params: unknown): unknown {
    const valid = Array.isArray(params) && typeof params[0] === 'string' && Array.isArray(params[1])
    if (!valid) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'a request for limits is malformed')
    return this._home.grant(params[0] as string, params[1] as LimitRequest[])
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

function refusal (workspace: Workspace, shortage: LimitShortage): MimosarockError {
  if (shortage === ResultCode.CONCURRENCY_LIMITED) {
    return new MimosarockError(shortage, `workspace ${workspace.name} has its ${workspace.concurrency} requests in flight`, { retryAfterMs: LimitTimes.PAUSE_MS })
  }
  const retryAfterMs = Math.max(LimitTimes.PAUSE_MS, Math.ceil(1_000 / workspace.requestsPerSecond))
  return new MimosarockError(shortage, `workspace ${workspace.name} is at its ${workspace.requestsPerSecond} requests a second`, { retryAfterMs })
}
