import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { DemandReport } from './demand-report.js'
import { FleetShares } from './fleet-shares.js'
import { mergeDemandReports } from './merge-demand-reports.js'
import { ServiceDemandCounter } from './service-demand-counter.js'
import type { WorkspaceShare } from './workspace-share.js'

/** Time for which the reports of a router count, in milliseconds; one that does not report again for this time has stopped. */
const REPORT_LIFETIME_MS = 1_500
/** Time for which shares of the followed router hold, in milliseconds. Without news all requests may queue again. */
const SHARES_LIFETIME_MS = 1_500
/** Interval at which shares are computed, in milliseconds: the one in which routers sync. */
const UPDATE_INTERVAL_MS = 250

/** Reports of one router that follows this one. */
interface ReceivedReports {
  readonly reports: readonly DemandReport[]
  readonly expiresAt: number
}

/**
 * Max-min fair shares of workspaces in services that refuse requests, over all routers. Each router sees a small part of the requests and queues
 * them fairly, but a surge that reaches all routers is much of what each one has in its queue. So routers report their demand to the router that they
 * follow; the one that follows none computes shares, which go back with its answers.
 */
export class WorkspaceFairness {
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private readonly _random: () => number
  private readonly _counters = new Map<string, ServiceDemandCounter>()
  private readonly _received = new Map<string, ReceivedReports>()
  private readonly _fleetShares = new FleetShares()
  private _isFollowing: () => boolean = () => false
  private _adopted: readonly WorkspaceShare[] = []
  private _adoptedAt = -Infinity
  private _updatedAt = -Infinity
  private _logged = new Set<string>()

  /**
   * @param clock clock of the router
   * @param log logs workspaces whose requests are limited to a share
   * @param random returns a random number from 0 (inclusive) to 1 (exclusive)
   */
  constructor (clock: ElapsedClock, log: EventLog, random: () => number) {
    this._clock = clock
    this._log = log
    this._random = random
  }

  /**
   * Sets how to find out whether this router follows another one, which then computes the shares.
   * @param isFollowing returns whether it does
   */
  setFollowing (isFollowing: () => boolean): void {
    this._isFollowing = isFollowing
  }

  /** Number of workspaces that are limited to a share of a service. */
  get limitedCount (): number {
    return this.shares.length
  }

  /** The shares in force. */
  get shares (): readonly WorkspaceShare[] {
    if (this._isFollowing()) return this._clock.now() - this._adoptedAt < SHARES_LIFETIME_MS ? this._adopted : []
    this._updateIfDue()
    return this._fleetShares.shares
  }

  /**
   * Counts a request that arrives.
   * @param service name of the service
   * @param workspace name of the workspace
   */
  countArrival (service: string, workspace: string): void {
    this._counter(service).countArrival(workspace)
  }

  /**
   * Counts a request that is admitted.
   * @param service name of the service
   * @param workspace name of the workspace
   */
  countAdmission (service: string, workspace: string): void {
    this._counter(service).countAdmission(workspace)
  }

  /**
   * Records that a request was refused for want of capacity.
   * @param service name of the service
   */
  recordRefusal (service: string): void {
    this._counter(service).recordRefusal()
  }

  /**
   * Returns whether a request that is not admitted at once may queue. A part of the requests of a workspace that exceeds its share may not.
   * @param service name of the service
   * @param workspace name of the workspace
   */
  mayQueue (service: string, workspace: string): boolean {
    const share = this.shares.find((each) => each.service === service && each.workspace === workspace)
    return share === undefined || this._random() < share.queuedFraction
  }

  /** Returns the demand at this router and at those that follow it; undefined if no service has refused requests. */
  demand (): readonly DemandReport[] | undefined {
    const now = this._clock.now()
    for (const [router, { expiresAt }] of this._received) if (expiresAt <= now) this._received.delete(router)
    // Decaying rates keep their ratio, so a service that has become idle would look overloaded without this condition.
    const own = [...this._counters.values()].filter(({ hasRefused }) => hasRefused).map((counter) => counter.report())
    const reports = [...own, ...[...this._received.values()].flatMap(({ reports }) => reports)]
    return reports.length === 0 ? undefined : mergeDemandReports(reports)
  }

  /**
   * Records the demand that a router which follows this one reports.
   * @param router name of the router
   * @param reports its demand, and that of its followers
   */
  recordDemand (router: string, reports: readonly DemandReport[]): void {
    this._received.set(router, { reports, expiresAt: this._clock.now() + REPORT_LIFETIME_MS })
  }

  /**
   * Adopts the shares of the followed router.
   * @param shares the shares; empty if no workspace exceeds its share
   */
  adopt (shares: readonly WorkspaceShare[]): void {
    this._adopted = shares
    this._adoptedAt = this._clock.now()
    this._logChanges(shares)
  }

  private _updateIfDue (): void {
    if (this._clock.now() - this._updatedAt < UPDATE_INTERVAL_MS) return
    this._updatedAt = this._clock.now()
    this._fleetShares.update(this.demand() ?? [])
    this._logChanges(this._fleetShares.shares)
  }

  private _logChanges (shares: readonly WorkspaceShare[]): void {
    const current = new Set(shares.map(({ service, workspace }) => `${service} ${workspace}`))
    for (const { service, workspace, queuedFraction } of shares) {
      if (!this._logged.has(`${service} ${workspace}`)) this._log.info('workspace-share-limited', { service, workspace, queued_fraction: Number(queuedFraction.toFixed(2)) })
    }
    for (const key of this._logged) {
      const [service, workspace] = key.split(' ')
      if (!current.has(key)) this._log.info('workspace-share-lifted', { service, workspace })
    }
    this._logged = current
  }

  private _counter (service: string): ServiceDemandCounter {
    let counter = this._counters.get(service)
    if (counter === undefined) {
      counter = new ServiceDemandCounter(service, this._clock)
      this._counters.set(service, counter)
    }
    return counter
  }
}
