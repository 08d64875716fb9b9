import { FairQueue } from '@mimosarock/placement/fair-queue.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import { FadingCount } from './fading-count.js'
import type { RequestRank } from './request-rank.js'
import type { WaitingRequest } from './waiting-request.js'

/** Share of its requests that a rank is served, against the most urgent one, while all must wait. */
const SERVED_SHARES: readonly number[] = [1, 0.7, 0.5]
const LEAST_SERVED_SHARE = 0.4
/** The same among requests of one rank, by the rank of their routes. */
const ROUTE_SHARES: readonly number[] = [1, 0.9, 0.8]
const LEAST_ROUTE_SHARE = 0.7

/** Requests of one rank. */
interface RankQueue {
  readonly share: number
  readonly waiting: FairQueue<WaitingRequest>
  readonly asked: FadingCount
  readonly served: FadingCount
}

/**
 * Who is next. Of the ranks, the one whose served share of requests is furthest below its due; so urgent requests are
 * served more often than others, whatever their numbers, and none are left out. In a rank, turns go round the
 * workspaces, so that a surge of one waits for itself.
 */
export class RankQueues {
  private readonly _clock: ElapsedClock
  private readonly _ranks = new Map<string, RankQueue>()
  private _size = 0

  /**
   * @param clock lets counts fade
   */
  constructor (clock: ElapsedClock) {
    this._clock = clock
  }

  /** Number of requests that wait. */
  get size (): number {
    return this._size
  }

  /** Requests of all ranks that are served a second. */
  get servedPerSecond (): number {
    return this._sumServed(({ perSecond }) => perSecond)
  }

  /**
   * Counts a request that comes.
   * @param rank of the request
   */
  countAsked (rank: RequestRank): void {
    this._of(rank).asked.add()
  }

  /**
   * Counts a request that is served.
   * @param rank of the request
   */
  countServed (rank: RequestRank): void {
    this._of(rank).served.add()
  }

  /**
   * Time until a new request would be served, in milliseconds.
   * @param request the request
   * @param turnMs time between two places that come free, in milliseconds
   */
  expectedWaitMs (request: WaitingRequest, turnMs: number): number {
    const { waiting, served } = this._of(request)
    const all = this._sumServed(({ value }) => value)
    // The rank gets about as many of the places as it got lately, and at least one of each round.
    const share = Math.max(served.value / Math.max(1, all), 1 / this._ranks.size)
    return (waiting.loadAhead(request) + 1) * turnMs / share
  }

  /**
   * Adds a request.
   * @param request the request
   */
  push (request: WaitingRequest): void {
    this._of(request).waiting.push(request)
    this._size += 1
  }

  /** Takes the request whose turn is next. */
  take (): WaitingRequest | undefined {
    let next: RankQueue | undefined
    for (const rank of this._ranks.values()) {
      if (rank.waiting.size > 0 && (next === undefined || isFurtherBelow(rank, next))) next = rank
    }
    const request = next?.waiting.take()
    if (request !== undefined) this._size -= 1
    return request
  }

  /**
   * Removes a request.
   * @param request the request
   * @returns whether it was there
   */
  remove (request: WaitingRequest): boolean {
    const wasThere = this._of(request).waiting.remove(request)
    if (wasThere) this._size -= 1
    return wasThere
  }

  private _sumServed (read: (served: FadingCount) => number): number {
    let sum = 0
    for (const { served } of this._ranks.values()) sum += read(served)
    return sum
  }

  private _of ({ rank, routeRank }: RequestRank): RankQueue {
    const key = `${rank}/${routeRank}`
    let queue = this._ranks.get(key)
    if (queue === undefined) {
      queue = {
        share: (SERVED_SHARES[rank] ?? LEAST_SERVED_SHARE) * (ROUTE_SHARES[routeRank] ?? LEAST_ROUTE_SHARE),
        waiting: new FairQueue(),
        asked: new FadingCount(this._clock),
        served: new FadingCount(this._clock)
      }
      this._ranks.set(key, queue)
    }
    return queue
  }
}

function isFurtherBelow (rank: RankQueue, other: RankQueue): boolean {
  return servedOfDue(rank) < servedOfDue(other)
}

function servedOfDue ({ share, asked, served }: RankQueue): number {
  return served.value / Math.max(1, asked.value) / share
}
