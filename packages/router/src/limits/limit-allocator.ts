import type { Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { TokenBucket } from '@mimosarock/placement/token-bucket.js'
import type { LimitGrant } from './limit-grant.js'
import type { LimitRequest } from './limit-request.js'
import { LimitTimes } from './limit-times.js'
import type { LimitAllocatorOptions } from './limit-allocator-options.js'

/** Fraction of a concurrency limit up to which spare slots are granted; above it, slots are scarce. */
const SCARCITY_THRESHOLD = 0.25

/** Slots leased to one router; the lease expires unless the router renews it. */
interface SlotLease {
  slots: number
  renewedAt: number
}

/** Token bucket and slot leases of one workspace; leases by router id. */
interface WorkspaceGrants {
  readonly bucket: TokenBucket
  readonly leases: Map<string, SlotLease>
}

/**
 * Grants tokens and slots of the workspaces for which this router is the home. A new home starts without a burst.
 * A router that renews keeps the slots that it already leases here, even beyond the limit, since they are in use.
 */
export class LimitAllocator {
  private readonly _options: LimitAllocatorOptions
  private readonly _workspaces = new Map<string, WorkspaceGrants>()

  /**
   * @param options configuration and clock
   */
  constructor (options: LimitAllocatorOptions) {
    this._options = options
  }

  /**
   * Grants the requests of a router and renews its slot leases.
   * @param routerId id of the requesting router
   * @param requests one request per workspace
   * @returns a grant per request, in the same order; undefined for a workspace that is not configured at this router
   */
  grant (routerId: string, requests: readonly LimitRequest[]): Array<LimitGrant | undefined> {
    this._deleteRemovedWorkspaces()
    return requests.map(([name, slots, tokens, spareSlots]) => {
      const workspace = this._options.configuration.current()?.workspaces.get(name)
      if (workspace === undefined) return undefined
      const grants = this._grantsOf(workspace)
      const [granted, scarce] = this._grantSlots(workspace, grants, routerId, slots, spareSlots)
      return [granted, this._grantTokens(workspace, grants, tokens), scarce]
    })
  }

  private _grantsOf (workspace: Workspace): WorkspaceGrants {
    const perSecond = workspace.requestsPerSecond
    const burst = Math.max(1, perSecond)
    let grants = this._workspaces.get(workspace.name)
    if (grants === undefined) {
      // The grants of a previous home are unknown, so a new home starts with the minimum that admits one request.
      const bucket = new TokenBucket(perSecond, 1, this._options.clock)
      grants = { bucket, leases: new Map() }
      this._workspaces.set(workspace.name, grants)
    }
    grants.bucket.setRate(perSecond, burst)
    return grants
  }

  private _grantTokens (workspace: Workspace, grants: WorkspaceGrants, wanted: number): number {
    if (workspace.requestsPerSecond <= 0) return wanted
    return grants.bucket.takeUpTo(wanted)
  }

  private _grantSlots (workspace: Workspace, grants: WorkspaceGrants, routerId: string, wanted: number, spare: number): [slots: number, scarce: number] {
    const limit = workspace.concurrency
    if (limit === 0) return [wanted, 0]
    const leasedByOthers = this._leasedByOthers(grants, routerId)
    const leased = grants.leases.get(routerId)?.slots ?? 0
    const needed = Math.min(wanted, Math.max(limit - leasedByOthers, leased))
    const unused = limit * SCARCITY_THRESHOLD - leasedByOthers - needed
    const slots = needed + Math.max(0, Math.min(spare, Math.floor(unused)))
    if (slots > 0) grants.leases.set(routerId, { slots, renewedAt: this._options.clock.now() })
    else grants.leases.delete(routerId)
    return [slots, unused < 0 ? 1 : 0]
  }

  private _leasedByOthers (grants: WorkspaceGrants, routerId: string): number {
    const oldestRenewedAt = this._options.clock.now() - LimitTimes.SLOT_LEASE_MS
    let leasedSlots = 0
    for (const [holder, lease] of grants.leases) {
      if (lease.renewedAt < oldestRenewedAt) grants.leases.delete(holder)
      else if (holder !== routerId) leasedSlots += lease.slots
    }
    return leasedSlots
  }

  private _deleteRemovedWorkspaces (): void {
    const configuration = this._options.configuration.current()
    if (configuration === undefined || this._workspaces.size <= configuration.workspaces.size) return
    for (const name of this._workspaces.keys()) {
      if (!configuration.workspaces.has(name)) this._workspaces.delete(name)
    }
  }
}
