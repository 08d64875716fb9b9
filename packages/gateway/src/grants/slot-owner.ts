import { ResultCode } from '@mimosarock/schema/result-code.js'
import { createQueueEntry } from '../admission/create-queue-entry.js'
import { DecayingCounter } from '../admission/decaying-counter.js'
import { RankQueues } from '../admission/rank-queues.js'
import { retryDelay } from '../admission/retry-delay.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { GrantedSlot } from './granted-slot.js'
import { maximumWaitMs } from './maximum-wait-ms.js'
import { SlotEndpoints } from './slot-endpoints.js'
import type { SlotHolder } from './slot-holder.js'
import type { SlotListener } from './slot-listener.js'
import { SlotOutcome } from './slot-outcome.js'
import type { SlotOwnerOptions } from './slot-owner-options.js'
import type { SlotRefusal } from './slot-refusal.js'
import type { SlotRelease } from './slot-release.js'
import type { SlotRequest } from './slot-request.js'
import type { SlotTicket } from './slot-ticket.js'
import { SlotTimes } from './slot-times.js'
import type { WaitingRequest } from './waiting-request.js'

/**
 * Owner of the slots of one service: decides which request of which router gets a slot of which endpoint. Requests wait in the
 * order of `RankQueues` while no slot is free, and are refused at once if they would wait too long.
 */
export class SlotOwner {
  private readonly _service: string
  private readonly _options: SlotOwnerOptions
  private readonly _nextGrant: () => number
  private readonly _queues: RankQueues<WaitingRequest>
  private readonly _rejections: DecayingCounter
  private readonly _times: SlotTimes
  private readonly _endpoints: SlotEndpoints
  private readonly _granted = new Map<number, GrantedSlot>()
  private readonly _waiting = new Set<WaitingRequest>()
  /** Requests whose turn has come, but that may not run where slots are free. */
  private readonly _passedOver = new Set<WaitingRequest>()
  private _inUse = 0

  /**
   * @param service name of the service
   * @param options endpoints and what is known of them
   * @param nextGrant returns a new number for a grant
   */
  constructor (service: string, options: SlotOwnerOptions, nextGrant: () => number) {
    this._service = service
    this._options = options
    this._nextGrant = nextGrant
    this._queues = new RankQueues(options.clock)
    this._rejections = new DecayingCounter(options.clock)
    this._times = new SlotTimes(options.clock)
    this._endpoints = new SlotEndpoints(service, options, this._times)
  }

  /** Whether grants have not ended, or requests wait. */
  get hasWork (): boolean {
    return this._granted.size > 0 || this._waiting.size > 0
  }

  /** Number of grants in use. */
  get inUse (): number {
    return this._inUse
  }

  /**
   * Forgets an endpoint that is no longer registered.
   * @param endpointId id of the endpoint
   */
  removeEndpoint (endpointId: string): void {
    this._endpoints.remove(endpointId)
  }

  /** Begins to count anew: another router may have granted slots until now. */
  begin (): void {
    this._endpoints.begin()
  }

  /**
   * Handles a request for a slot. The listener may be called before this method returns.
   * @param holder router that asks
   * @param request what it wants
   * @param listener receives the answers
   * @returns undefined if the request was answered at once
   */
  request (holder: SlotHolder, request: SlotRequest, listener: SlotListener): SlotTicket | undefined {
    this._queues.countArrival(request)
    const endpoint = this._queues.size === 0 ? this._endpoints.choose(request) : undefined
    if (endpoint !== undefined) {
      this._grant(endpoint, holder, request, listener, undefined)
      return undefined
    }
    const refusal = this._refusalOf(request)
    if (refusal !== undefined) {
      listener.refused(refusal)
      return undefined
    }
    return this._queue(holder, request, listener)
  }

  /**
   * Ends a grant that its router releases. Without effect if it has ended before.
   * @param release the grant and how its use ended
   * @returns whether the grant is known
   */
  release ({ grant, outcome, elapsedMs, load }: SlotRelease): boolean {
    const slot = this._granted.get(grant)
    if (slot === undefined) return false
    if (load !== undefined) {
      slot.grants.recordReport(load, this._times.serviceMs)
      this._options.reportedLoads.record(slot.endpoint, load)
    }
    const heldMs = this._options.clock.now() - slot.grantedAt
    if (!slot.isCounted) this._times.recordLongest(heldMs)
    else if (outcome === SlotOutcome.COMPLETE) this._times.record(elapsedMs, heldMs)
    this._granted.delete(grant)
    this._stopCounting(slot)
    this._recordHealth(slot.endpoint.id, outcome)
    this._grantQueued()
    return true
  }

  /**
   * Forgets the waiting requests of a router whose connection has ended. Its grants count for one more mean service time, in
   * which its requests presumably end.
   * @param holder the router
   */
  holderLost (holder: SlotHolder): void {
    const lostAt = this._options.clock.now() + this._times.serviceMs
    for (const slot of this._granted.values()) if (slot.holder === holder) slot.lostAt = lostAt
    for (const waiting of this._waiting) if (waiting.holder === holder) this._drop(waiting)
  }

  /**
   * Refuses all waiting requests, since another router owns the slots now.
   * @param refusal what they are told
   */
  resign (refusal: SlotRefusal): void {
    for (const waiting of [...this._waiting]) {
      this._drop(waiting)
      waiting.listener.refused(refusal)
    }
  }

  /** Ends grants that were not released in time and requests that waited for too long. To be called every few milliseconds. */
  sweep (): void {
    const now = this._options.clock.now()
    const { lostAfterMs } = this._times
    for (const [grant, slot] of this._granted) {
      const endsAt = Math.min(slot.lostAt, slot.deadlineAt)
      if (now >= Math.min(endsAt, slot.grantedAt + lostAfterMs)) this._stopCounting(slot)
      if (now >= endsAt) this._granted.delete(grant)
    }
    this._grantQueued()
    for (const waiting of this._waiting) {
      if (now < waiting.expiresAt) continue
      this._drop(waiting)
      waiting.listener.refused(this._overloaded('had no free slot within the queue time limit'))
    }
  }

  private _queue (holder: SlotHolder, request: SlotRequest, listener: SlotListener): SlotTicket | undefined {
    const now = this._options.clock.now()
    const waitMs = maximumWaitMs(request)
    const waiting: WaitingRequest = { ...createQueueEntry(request, now), expiresAt: now + waitMs, request, holder, listener }
    const releaseIntervalMs = this._times.serviceMs / Math.max(1, this._inUse)
    const expectedMs = this._queues.expectedWaitMs(waiting, releaseIntervalMs) + this._passedOver.size * releaseIntervalMs
    if (expectedMs > waitMs) {
      listener.refused(this._overloaded(`would grant a slot only after about ${Math.round(expectedMs)} ms`))
      return undefined
    }
    this._queues.push(waiting)
    this._waiting.add(waiting)
    listener.queued(expectedMs)
    return { cancel: () => this._drop(waiting) }
  }

  /** Returns why a request cannot wait; undefined if it can. */
  private _refusalOf (request: SlotRequest): SlotRefusal | undefined {
    if (!this._endpoints.canServe(request)) {
      return { code: ResultCode.NO_ENDPOINT, message: 'the service has no available endpoint' }
    }
    // A new owner does not know how long its slots will stay in use by requests that it has not granted.
    if (this._endpoints.isBeginning) return { code: ResultCode.NOT_OWNER, message: 'the router has just become the slot owner' }
    return undefined
  }

  private _drop (waiting: WaitingRequest): void {
    this._waiting.delete(waiting)
    if (!this._passedOver.delete(waiting)) this._queues.remove(waiting)
  }

  private _grantQueued (): void {
    if (this._waiting.size === 0) return
    for (const waiting of this._passedOver) this._tryGrant(waiting)
    while (this._queues.size > 0 && this._endpoints.hasFreeSlot()) {
      const next = this._queues.take() as WaitingRequest
      this._queues.countAdmission(next)
      this._passedOver.add(next)
      this._tryGrant(next)
    }
  }

  private _tryGrant (waiting: WaitingRequest): void {
    const endpoint = this._endpoints.choose(waiting.request)
    if (endpoint === undefined) return
    this._waiting.delete(waiting)
    this._passedOver.delete(waiting)
    this._grant(endpoint, waiting.holder, waiting.request, waiting.listener, waiting.queuedAt)
  }

  private _grant (endpoint: EndpointEntry, holder: SlotHolder, request: SlotRequest, listener: SlotListener, queuedAt: number | undefined): void {
    const now = this._options.clock.now()
    const grants = this._endpoints.grantsOf(endpoint)
    const grant = this._nextGrant()
    if (queuedAt === undefined) this._queues.countAdmission(request)
    grants.begin()
    this._inUse += 1
    this._granted.set(grant, {
      holder, endpoint, grants, grantedAt: now, deadlineAt: now + request.timeLeftMs, lostAt: Infinity, isCounted: true
    })
    listener.granted({ grant, endpointId: endpoint.id, startedAt: endpoint.startedAt, waitedMs: now - (queuedAt ?? now) })
  }

  private _stopCounting (slot: GrantedSlot): void {
    if (!slot.isCounted) return
    slot.isCounted = false
    slot.grants.end()
    this._inUse -= 1
  }

  private _recordHealth (endpointId: string, outcome: SlotOutcome): void {
    const { health } = this._options
    if (outcome === SlotOutcome.COMPLETE) health.recordSuccess(endpointId)
    else if (outcome === SlotOutcome.NOT_SENT) health.recordFailure(endpointId, true)
    else if (outcome === SlotOutcome.NO_ANSWER || outcome === SlotOutcome.BROKEN || outcome === SlotOutcome.INVALID) health.recordFailure(endpointId, false)
  }

  private _overloaded (reason: string): SlotRefusal {
    this._rejections.increment()
    const retryAfterMs = retryDelay(this._rejections.perSecond, this._queues.admissionsPerSecond, this._options.random())
    return { code: ResultCode.OVERLOADED, message: `service ${this._service} ${reason}`, retryAfterMs }
  }
}
