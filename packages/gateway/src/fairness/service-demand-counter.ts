import type { ElapsedClock } from '../model/elapsed-clock.js'
import { DemandCounter } from './demand-counter.js'
import type { DemandReport } from './demand-report.js'
import { MAXIMUM_REPORTED_WORKSPACES } from './maximum-reported-workspaces.js'
import type { WorkspaceDemand } from './workspace-demand.js'

/**
 * Maximum number of workspaces that are counted for a service. The ones seen least recently are forgotten, and a workspace that causes a surge
 * is seen often, so the state does not grow with the number of workspaces.
 */
const MAXIMUM_COUNTED_WORKSPACES = 64
/** Time after a refusal in which a service is reported, in milliseconds; a surge refuses some in each interval between syncs. */
const REPORTED_AFTER_REFUSAL_MS = 2_000

/** Demand for one service at this router, by workspace. */
export class ServiceDemandCounter {
  private readonly _service: string
  private readonly _clock: ElapsedClock
  private readonly _total: DemandCounter
  private readonly _workspaces = new Map<string, DemandCounter>()
  private _refusedAt = -Infinity

  /**
   * @param service name of the service
   * @param clock measures the age of requests
   */
  constructor (service: string, clock: ElapsedClock) {
    this._service = service
    this._clock = clock
    this._total = new DemandCounter(clock)
  }

  /** Whether the service has refused requests for want of capacity a moment ago. */
  get hasRefused (): boolean {
    return this._clock.now() - this._refusedAt < REPORTED_AFTER_REFUSAL_MS
  }

  /**
   * Counts a request that arrives.
   * @param workspace name of the workspace
   */
  countArrival (workspace: string): void {
    this._total.countArrival()
    const counter = this._workspaces.get(workspace) ?? new DemandCounter(this._clock)
    this._workspaces.delete(workspace)
    this._workspaces.set(workspace, counter)
    counter.countArrival()
    if (this._workspaces.size > MAXIMUM_COUNTED_WORKSPACES) this._workspaces.delete(this._workspaces.keys().next().value as string)
  }

  /**
   * Counts a request that is admitted.
   * @param workspace name of the workspace
   */
  countAdmission (workspace: string): void {
    this._total.countAdmission()
    this._workspaces.get(workspace)?.countAdmission()
  }

  /** Records that a request was refused for want of capacity. */
  recordRefusal (): void {
    this._refusedAt = this._clock.now()
  }

  /** Returns the demand at this router. */
  report (): DemandReport {
    const { arrivalsPerSecond, admittedPerSecond } = this._total
    const workspaces = [...this._workspaces].map(([workspace, counter]): WorkspaceDemand => {
      return { workspace, arrivalsPerSecond: counter.arrivalsPerSecond, admittedPerSecond: counter.admittedPerSecond }
    })
    workspaces.sort((one, other) => other.arrivalsPerSecond - one.arrivalsPerSecond)
    return { service: this._service, arrivalsPerSecond, admittedPerSecond, workspaces: workspaces.slice(0, MAXIMUM_REPORTED_WORKSPACES) }
  }
}
