import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'
import { OwnerChoice } from '@mimosarock/placement/owner-choice.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { LoadExchangeOptions } from './load-exchange-options.js'
import type { PoolAdmissions } from './pool-admissions.js'

const METHOD = 'placement.load'
const CALL_TIMEOUT_MS = 400
/** Digits after the point of the loads that travel. */
const DIGITS = 2
/** Name under which the sum of all other owners is kept. */
const OTHERS = 'others'

/** One pool's load at one router, as it travels: pool, load, capacity. */
type PoolDigest = readonly [pool: string, load: number, capacity: number]

/**
 * Gives every owner the mean load of its pools. Each pool has a home router, by rendezvous; owners of the
 * pool's endpoints tell it their sums and get the sum of the others as the answer. So a router sends one small
 * call a period for each home of its pools, however many routers there are.
 */
export class LoadExchange {
  private readonly _options: LoadExchangeOptions
  private _choice: OwnerChoice<RouterIdentity>
  private _time = 0

  /**
   * @param options what it works with
   */
  constructor (options: LoadExchangeOptions) {
    this._options = options
    this._choice = new OwnerChoice(options.membership.live())
    options.membership.onChange(() => this._noteRouters())
    options.messenger.handle(METHOD, (params) => this._answer(params))
  }

  /**
   * Exchanges loads until the signal aborts.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAt = this._options.clock.now()
      await this.exchange()
      const rest = this._options.periodMs - (this._options.clock.now() - startedAt)
      await this._options.clock.sleep(Math.max(rest, 1), signal)
    }
  }

  /** Tells each home this router's loads and takes the others'. */
  async exchange (): Promise<void> {
    const byHome = new Map<RouterIdentity, PoolAdmissions[]>()
    for (const admissions of this._options.admissions.pools.values()) {
      const home = this._homeOf(admissions.pool.name)
      const needless = admissions.owned.size === 0 || admissions.owned.size === admissions.pool.endpoints.length
      if (home === undefined || home.id === this._options.membership.self.id || needless) continue
      byHome.set(home, [...(byHome.get(home) ?? []), admissions])
    }
    await Promise.all([...byHome].map(async ([home, pools]) => await this._tell(home, pools)))
  }

  private async _tell (home: RouterIdentity, pools: readonly PoolAdmissions[]): Promise<void> {
    this._time += 1
    const time = this._time
    const digests = pools.map((each) => encode(each))
    try {
      const answer = await this._options.messenger.call(home.peerAddress, METHOD, [this._options.membership.self.id, time, digests], CALL_TIMEOUT_MS)
      for (const digest of answer as PoolDigest[]) this._receive(OTHERS, time, digest)
    } catch {
      // The last answer counts until it is stale; then this router's own endpoints are the whole pool to it.
    }
  }

  private _answer (params: unknown): PoolDigest[] {
    const valid = Array.isArray(params) && typeof params[0] === 'string' && typeof params[1] === 'number' && Array.isArray(params[2])
    if (!valid) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'a load digest is malformed')
    const [routerId, time, digests] = params as [string, number, PoolDigest[]]
    const answers: PoolDigest[] = []
    for (const digest of digests) {
      const load = this._options.admissions.pools.get(digest[0])?.load
      if (load === undefined) continue
      this._receive(routerId, time, digest)
      const total = load.total()
      answers.push([digest[0], round(total.load - digest[1]), round(total.capacity - digest[2])])
    }
    return answers
  }

  private _receive (routerId: string, time: number, [pool, load, capacity]: PoolDigest): void {
    this._options.admissions.pools.get(pool)?.load.receive({ routerId, pool, load, capacity, time })
  }

  private _noteRouters (): void {
    const live = this._options.membership.live()
    this._choice = new OwnerChoice(live)
    const kept = new Set(live.map((router) => router.id)).add(OTHERS)
    for (const { pool, load } of this._options.admissions.pools.values()) {
      // What a former home keeps of the others would count them twice with what it gets as a mere owner.
      const isHome = this._homeOf(pool.name)?.id === this._options.membership.self.id
      load.retain((routerId) => kept.has(routerId) && (routerId === OTHERS) !== isHome)
    }
  }

  private _homeOf (pool: string): RouterIdentity | undefined {
    return this._choice.ownerOf(`load/${pool}`)
  }
}

function encode (admissions: PoolAdmissions): PoolDigest {
  const digest = admissions.load.digest()
  return [digest.pool, round(digest.load), digest.capacity]
}

function round (value: number): number {
  return Math.max(0, Number(value.toFixed(DIGITS)))
}
