import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import { OwnerChoice } from '@mimosarock/placement/owner-choice.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { LoadExchangeOptions } from './load-exchange-options.js'
import type { PoolAdmissions } from './pool-admissions.js'

const LOAD_METHOD = 'placement.load'
const CALL_TIMEOUT_MS = 400
/** Number of fraction digits of the loads in peer messages. */
const FRACTION_DIGITS = 2
/** Router id under which a digest of the totals of all other owners is stored. */
const OTHERS = 'others'

/** Wire format of one pool's load: pool, load, capacity. */
type PoolDigest = readonly [pool: string, load: number, capacity: number]

/**
 * Provides each owner with the mean load of its pools. Each pool has a home router, selected by rendezvous hashing.
 * Each owner of endpoints of the pool sends the home router a digest of their total load and capacity, and the home
 * router responds with the totals of all other owners. A router thereby sends one small message per period to each
 * home router of its pools, independent of the size of the fleet.
 */
export class LoadExchange {
  private readonly _options: LoadExchangeOptions
  private _choice: OwnerChoice<RouterIdentity>
  private _sequence = 0

  /**
   * @param options dependencies and the interval between exchanges
   */
  constructor (options: LoadExchangeOptions) {
    this._options = options
    this._choice = new OwnerChoice(options.membership.live())
    options.membership.onChange(() => this._applyMembership())
    options.messenger.handle(LOAD_METHOD, (params) => this._handleDigests(params))
  }

  /**
   * Exchanges loads periodically until the signal aborts.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAt = this._options.clock.now()
      await this.exchange()
      const remainingMs = this._options.periodMs - (this._options.clock.now() - startedAt)
      await this._options.clock.sleep(Math.max(remainingMs, 1), signal)
    }
  }

  /** Sends this router's digests to each home router and applies the digests in the responses. */
  async exchange (): Promise<void> {
    const byHome = new Map<RouterIdentity, PoolAdmissions[]>()
    for (const admissions of this._options.admissions.pools.values()) {
      const home = this._homeOf(admissions.pool.name)
      const isRedundant = admissions.owned.size === 0 || admissions.owned.size === admissions.pool.endpoints.length
      if (home === undefined || home.id === this._options.membership.self.id || isRedundant) continue
      byHome.set(home, [...(byHome.get(home) ?? []), admissions])
    }
    await Promise.all([...byHome].map(async ([home, pools]) => await this._sendDigests(home, pools)))
  }

  private async _sendDigests (home: RouterIdentity, pools: readonly PoolAdmissions[]): Promise<void> {
    this._sequence += 1
    const sequence = this._sequence
    const digests = pools.map((each) => encodeDigest(each))
    try {
      const response = await this._options.messenger.call(home.peerAddress, LOAD_METHOD, [this._options.membership.self.id, sequence, digests], CALL_TIMEOUT_MS)
      for (const digest of response as PoolDigest[]) this._applyDigest(OTHERS, sequence, digest)
    } catch {
      // The last response is used until it is stale. After that the mean covers only this router's own endpoints.
    }
  }

  private _handleDigests (params: unknown): PoolDigest[] {
    const valid = Array.isArray(params) && typeof params[0] === 'string' && typeof params[1] === 'number' && Array.isArray(params[2])
    if (!valid) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'malformed load digest')
    const [routerId, sequence, digests] = params as [string, number, PoolDigest[]]
    const responses: PoolDigest[] = []
    for (const digest of digests) {
      const load = this._options.admissions.pools.get(digest[0])?.load
      if (load === undefined) continue
      this._applyDigest(routerId, sequence, digest)
      const total = load.total()
      responses.push([digest[0], round(total.load - digest[1]), round(total.capacity - digest[2])])
    }
    return responses
  }

  private _applyDigest (routerId: string, sequence: number, [pool, load, capacity]: PoolDigest): void {
    this._options.admissions.pools.get(pool)?.load.receive({ routerId, pool, load, capacity, time: sequence })
  }

  private _applyMembership (): void {
    const live = this._options.membership.live()
    this._choice = new OwnerChoice(live)
    const retained = new Set(live.map((router) => router.id)).add(OTHERS)
    for (const { pool, load } of this._options.admissions.pools.values()) {
      // The home stores a digest per owner, any other router only one for all other owners. Digests stored in the
      // previous role would count the same endpoints twice.
      const isHome = this._homeOf(pool.name)?.id === this._options.membership.self.id
      load.retain((routerId) => retained.has(routerId) && (routerId === OTHERS) !== isHome)
    }
  }

  private _homeOf (pool: string): RouterIdentity | undefined {
    return this._choice.ownerOf(`load/${pool}`)
  }
}

function encodeDigest (admissions: PoolAdmissions): PoolDigest {
  const digest = admissions.load.digest()
  return [digest.pool, round(digest.load), digest.capacity]
}

function round (value: number): number {
  return Math.max(0, Number(value.toFixed(FRACTION_DIGITS)))
}
