import { FairQueue } from '@mimosarock/placement/fair-queue.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import { DecayingCounter } from './decaying-counter.js'
import type { RequestRank } from './request-rank.js'
import type { QueueEntry } from './queue-entry.js'

/** Weights by rank: admitted fraction of the requests of a rank, relative to rank 0, while requests of all ranks are queued. */
const RANK_WEIGHTS: readonly number[] = [1, 0.7, 0.5]
/** Weight of all ranks that `RANK_WEIGHTS` does not list. */
const MINIMUM_RANK_WEIGHT = 0.4
/** Weights by route rank: admitted fraction of its requests, relative to route rank 0, among requests of one rank. */
const ROUTE_RANK_WEIGHTS: readonly number[] = [1, 0.9, 0.8]
/** Weight of all route ranks that `ROUTE_RANK_WEIGHTS` does not list. */
const MINIMUM_ROUTE_RANK_WEIGHT = 0.7

/** Queue and counts of the requests that share a rank and a route rank. */
interface RankQueue<Entry extends QueueEntry> {
  readonly weight: number
  readonly requests: FairQueue<Entry>
  readonly arrivals: DecayingCounter
  readonly admissions: DecayingCounter
}

/**
 * Scheduling order of queued requests. The next request comes from the rank whose admitted fraction is lowest relative
 * to its weight: urgent requests are admitted at a higher rate whatever their number, and no rank starves. Within a
 * rank, workspaces are served by fair queueing, which confines the delay of a surge to the workspace that causes it.
 */
export class RankQueues<Entry extends QueueEntry> {
  private readonly _clock: ElapsedClock
  private readonly _rankQueues = new Map<string, RankQueue<Entry>>()
  private _size = 0

  /**
   * @param clock time source of the decaying counters
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /** Number of queued requests. */
  get size (): number {
    return this._size
  }

  /** Recent rate of admissions over all ranks. */
  get admissionsPerSecond (): number {
    return this._sumAdmissions(({ perSecond }) => perSecond)
  }

  /**
   * Counts an arriving request, whether or not it is queued.
   * @param rank rank of the request
   */
  countArrival (rank: RequestRank): void {
    this._queueOf(rank).arrivals.increment()
  }

  /**
   * Counts an admitted request.
   * @param rank rank of the request
   */
  countAdmission (rank: RequestRank): void {
    this._queueOf(rank).admissions.increment()
  }

  /**
   * Estimates the queueing delay of a new request, in milliseconds.
   * @param request request that is not queued yet
   * @param releaseIntervalMs mean time between two releases of capacity, in milliseconds
   */
  expectedWaitMs (request: Entry, releaseIntervalMs: number): number {
    const { requests, admissions } = this._queueOf(request)
    const total = this._sumAdmissions(({ value }) => value)
    // A rank is assumed to get its recent fraction of all admissions, but at least as much as if all ranks got the same.
    const fraction = Math.max(admissions.value / Math.max(1, total), 1 / this._rankQueues.size)
    return (requests.loadAhead(request) + 1) * releaseIntervalMs / fraction
  }

  /**
   * Queues a request.
   * @param request request to queue
   */
  push (request: Entry): void {
    this._queueOf(request).requests.push(request)
    this._size += 1
  }

  /** Admitted fraction of the rank that is served next, divided by its weight; undefined if no request is queued. */
  get nextFraction (): number | undefined {
    const next = this._next()
    return next === undefined ? undefined : admittedFraction(next)
  }

  /** Removes and returns the next request in scheduling order; undefined if none is queued. */
  take (): Entry | undefined {
    const request = this._next()?.requests.take()
    if (request !== undefined) this._size -= 1
    return request
  }

  /**
   * Removes a request from its queue.
   * @param request request to remove
   * @returns whether it was queued
   */
  remove (request: Entry): boolean {
    const wasQueued = this._queueOf(request).requests.remove(request)
    if (wasQueued) this._size -= 1
    return wasQueued
  }

  private _next (): RankQueue<Entry> | undefined {
    let next: RankQueue<Entry> | undefined
    for (const queue of this._rankQueues.values()) {
      if (queue.requests.size > 0 && (next === undefined || isMoreUnderserved(queue, next))) next = queue
    }
    return next
  }

  private _sumAdmissions (read: (admissions: DecayingCounter) => number): number {
    let sum = 0
    for (const { admissions } of this._rankQueues.values()) sum += read(admissions)
    return sum
  }

  private _queueOf ({ rank, routeRank }: RequestRank): RankQueue<Entry> {
    const key = `${rank}/${routeRank}`
    let queue = this._rankQueues.get(key)
    if (queue === undefined) {
      queue = {
        weight: (RANK_WEIGHTS[rank] ?? MINIMUM_RANK_WEIGHT) * (ROUTE_RANK_WEIGHTS[routeRank] ?? MINIMUM_ROUTE_RANK_WEIGHT),
        requests: new FairQueue(),
        arrivals: new DecayingCounter(this._clock),
        admissions: new DecayingCounter(this._clock)
      }
      this._rankQueues.set(key, queue)
    }
    return queue
  }
}

function isMoreUnderserved (queue: RankQueue<QueueEntry>, other: RankQueue<QueueEntry>): boolean {
  return admittedFraction(queue) < admittedFraction(other)
}

// Returns the admitted fraction of a rank's requests, divided by the rank's weight.
function admittedFraction ({ weight, arrivals, admissions }: RankQueue<QueueEntry>): number {
  return admissions.value / Math.max(1, arrivals.value) / weight
}
