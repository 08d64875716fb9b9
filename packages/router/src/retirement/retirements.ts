import { RetirementState } from './retirement-state.js'
import type { RetirementsOptions } from './retirements-options.js'

/** Interval between two checks of the configuration and of the requests in flight. */
const CHECK_INTERVAL_MS = 250
/** Drain time of pools without a retirement rule. */
const DEFAULT_DRAIN_MS = 30_000

/** Retirement that this router carries out as the owner of the endpoint. */
interface RunningRetirement {
  state: RetirementState
  readonly abortController: AbortController
}

/**
 * Carries out the retirements of owned endpoints according to the rules of their pools: waits until enough other
 * endpoints are live, drains the endpoint, aborts the calls that are still in flight and exports the contexts. If the
 * ownership moves to another router, the new owner starts over, with the full drain time; all steps are idempotent.
 */
export class Retirements {
  private readonly _options: RetirementsOptions
  private readonly _running = new Map<string, RunningRetirement>()

  /**
   * @param options configuration, ownership, steps and other dependencies
   */
  constructor (options: RetirementsOptions) {
    this._options = options
  }

  /**
   * Returns the state of the retirement of an endpoint.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   * @returns undefined if the endpoint is not being retired, or not by this router
   */
  stateOf (pool: string, endpoint: string): RetirementState | undefined {
    return this._running.get(`${pool}/${endpoint}`)?.state
  }

  /**
   * Carries out the configured retirements until the signal aborts.
   * @param signal stops all retirements
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this._syncWithConfiguration(signal)
      await this._options.clock.sleep(CHECK_INTERVAL_MS, signal)
    }
  }

  private _syncWithConfiguration (signal: AbortSignal): void {
    const { configuration, owners, selfId } = this._options
    const configured = new Set<string>()
    for (const { pool, endpoint } of configuration.current()?.configuration.retirements ?? []) {
      if (owners.ownerOf(pool, endpoint)?.id !== selfId()) continue
      const key = `${pool}/${endpoint}`
      configured.add(key)
      if (this._running.has(key)) continue
      const retirement = { state: RetirementState.WAITING, abortController: new AbortController() }
      this._running.set(key, retirement)
      this._retire(pool, endpoint, retirement, AbortSignal.any([signal, retirement.abortController.signal]))
    }
    for (const [key, { abortController }] of this._running) {
      if (configured.has(key)) continue
      abortController.abort()
      this._running.delete(key)
    }
  }

  private async _retire (pool: string, endpoint: string, retirement: RunningRetirement, signal: AbortSignal): Promise<void> {
    const { steps, clock, eventLog } = this._options
    while (!signal.aborted && !steps.mayBegin(pool, endpoint)) await clock.sleep(CHECK_INTERVAL_MS, signal)
    if (signal.aborted) return
    retirement.state = RetirementState.DRAINING
    const rule = this._options.configuration.current()?.retirementRulesByPool.get(pool)
    eventLog.info('retirement-draining', { pool, endpoint, in_flight: steps.inFlight(pool, endpoint) })
    const drainDeadline = clock.now() + (rule?.drainMs ?? DEFAULT_DRAIN_MS)
    while (!signal.aborted && steps.inFlight(pool, endpoint) > 0 && clock.now() < drainDeadline) await clock.sleep(CHECK_INTERVAL_MS, signal)
    if (signal.aborted) return
    const abortedCalls = steps.inFlight(pool, endpoint)
    steps.abortInFlight(pool, endpoint)
    retirement.state = RetirementState.EXPORTING
    const contextsExported = rule?.exportContext === true ? await steps.exportContext(pool, endpoint, signal) : 0
    if (signal.aborted) return
    retirement.state = RetirementState.RELEASED
    eventLog.info('endpoint-released', { pool, endpoint, cut_off: abortedCalls, contexts_exported: contextsExported })
  }
}
