import { RetirementState } from './retirement-state.js'
import type { RetirementsOptions } from './retirements-options.js'

/** Pause between two looks at the configuration and at requests in flight. */
const CHECK_MS = 250
/** Drain time of pools without a rule. */
const DEFAULT_DRAIN_MS = 30_000

/** A retirement that this router carries out as the endpoint's owner. */
interface RunningRetirement {
  state: RetirementState
  readonly ended: AbortController
}

/**
 * Carries out the retirements of owned endpoints by their pools' rules: waits for enough live endpoints, drains,
 * ends what still runs, exports contexts. A new owner starts over with the drain time; no step harms if repeated.
 */
export class Retirements {
  private readonly _options: RetirementsOptions
  private readonly _running = new Map<string, RunningRetirement>()

  /**
   * @param options what the retirements work with
   */
  constructor (options: RetirementsOptions) {
    this._options = options
  }

  /**
   * How far an owned endpoint's retirement is.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined if it is not retired, or not by this router
   */
  stateOf (pool: string, endpoint: string): RetirementState | undefined {
    return this._running.get(`${pool}/${endpoint}`)?.state
  }

  /**
   * Carries out retirements until the signal aborts.
   * @param signal ends all of them
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this._follow(signal)
      await this._options.clock.sleep(CHECK_MS, signal)
    }
  }

  private _follow (signal: AbortSignal): void {
    const { configuration, owners, selfId } = this._options
    const wanted = new Set<string>()
    for (const { pool, endpoint } of configuration.current()?.configuration.retirements ?? []) {
      if (owners.ownerOf(pool, endpoint)?.id !== selfId()) continue
      const key = `${pool}/${endpoint}`
      wanted.add(key)
      if (this._running.has(key)) continue
      const retirement = { state: RetirementState.WAITING, ended: new AbortController() }
      this._running.set(key, retirement)
      this._retire(pool, endpoint, retirement, AbortSignal.any([signal, retirement.ended.signal]))
    }
    for (const [key, { ended }] of this._running) {
      if (wanted.has(key)) continue
      ended.abort()
      this._running.delete(key)
    }
  }

  private async _retire (pool: string, endpoint: string, retirement: RunningRetirement, signal: AbortSignal): Promise<void> {
    const { steps, clock, eventLog } = this._options
    while (!signal.aborted && !steps.mayBegin(pool, endpoint)) await clock.sleep(CHECK_MS, signal)
    if (signal.aborted) return
    retirement.state = RetirementState.DRAINING
    const rule = this._options.configuration.current()?.retirementRulesByPool.get(pool)
    eventLog.info('retirement-draining', { pool, endpoint, in_flight: steps.inFlight(pool, endpoint) })
    const drainedBy = clock.now() + (rule?.drainMs ?? DEFAULT_DRAIN_MS)
    while (!signal.aborted && steps.inFlight(pool, endpoint) > 0 && clock.now() < drainedBy) await clock.sleep(CHECK_MS, signal)
    if (signal.aborted) return
    const cutOff = steps.inFlight(pool, endpoint)
    steps.endInFlight(pool, endpoint)
    retirement.state = RetirementState.EXPORTING
    const exported = rule?.exportContext === true ? await steps.exportContext(pool, endpoint, signal) : 0
    if (signal.aborted) return
    retirement.state = RetirementState.RELEASED
    eventLog.info('endpoint-released', { pool, endpoint, cut_off: cutOff, contexts_exported: exported })
  }
}
