import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import { peerCallFields } from '../membership/peer-call-fields.js'
import { TransferAttempt } from './transfer-attempt.js'
import type { TransferCall } from './transfer-call.js'

/** Maximum number of attempts in progress, each from another source. */
const MAXIMUM_ATTEMPTS = 2
/** Time after the first attempt from which the store is the better source, if no attempt is in time. */
const STORE_AFTER_MS = 800
/** Time without an adopted change after which the sources that were tried are tried again. */
const TRIED_LIFETIME_MS = 3_000

/**
 * Transfers large changes of the configuration from other routers. A transfer can take seconds on a slow link; sync requests continue
 * meanwhile, so that it delays neither loads nor the removal of endpoints. While an attempt is slow, another one is made from another
 * source, and the first that ends counts.
 */
export class ConfigurationTransfer {
  private readonly _configuration: ConfigurationState
  private readonly _call: TransferCall
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private readonly _attempts = new Set<TransferAttempt>()
  /** Sources from which this router has tried to get the change that it lacks. */
  private readonly _tried = new Set<string>()
  private _firstTriedAt = -Infinity
  private _askOthers: () => void = () => undefined

  /**
   * @param configuration configuration to update
   * @param call requests a change from another router
   * @param clock clock for the duration of a transfer
   * @param log logs each transfer
   */
  constructor (configuration: ConfigurationState, call: TransferCall, clock: ElapsedClock, log: EventLog) {
    this._configuration = configuration
    this._call = call
    this._clock = clock
    this._log = log
    configuration.onInForce(() => this._endAttempts())
  }

  /** Whether an attempt is in progress that is not slow, so that no other source is needed. */
  get isInTime (): boolean {
    return [...this._attempts].some((attempt) => !attempt.isSlow)
  }

  /** Addresses of the sources that are slow or have failed; undefined for none, or while an attempt is not slow. */
  get slowSources (): readonly string[] | undefined {
    return this.isInTime || this._tried.size === 0 ? undefined : [...this._tried]
  }

  /** Whether all sources have been slow or have failed for so long that the store is the better one. */
  get needsStore (): boolean {
    return this._tried.size > 0 && !this.isInTime && this._clock.now() - this._firstTriedAt >= STORE_AFTER_MS
  }

  /**
   * Sets the listener that is called when other routers should be asked at once; it replaces the previous one.
   * @param listener called without arguments when a change was adopted, so that others can get it here, and when an attempt has become slow or
   * has failed, so that another source is needed
   */
  listen (listener: () => void): void {
    this._askOthers = listener
  }

  /**
   * Starts an attempt, unless one is in progress that is not slow.
   * @param source address of the router to request the change from, host:port
   * @param alternative address of another router that may have the change, used if `source` was tried before
   */
  start (source: string, alternative: string): void {
    if (this.isInTime || this._attempts.size >= MAXIMUM_ATTEMPTS) return
    this._forgetTried()
    const untried = [source, alternative].find((address) => !this._tried.has(address))
    if (untried === undefined && this._attempts.size > 0) return
    this._run(untried ?? source).catch(() => undefined)
  }

  private async _run (source: string): Promise<void> {
    const fromVersion = this._configuration.version
    const attempt = new TransferAttempt(this._clock, () => this._askOthers())
    this._attempts.add(attempt)
    const isFirstTry = !this._tried.has(source)
    if (this._tried.size === 0) this._firstTriedAt = this._clock.now()
    this._tried.add(source)
    try {
      const { patches, configuration } = await this._call(source, fromVersion, attempt)
      if (configuration !== undefined) this._configuration.adopt(configuration, source)
      if (patches !== undefined) this._configuration.adoptPatches(patches, source)
      if (this._configuration.version === fromVersion) throw new Error('the router has no usable change')
      this._log.info('configuration-transferred', { source, from: fromVersion, to: this._configuration.version, elapsed_ms: Math.round(attempt.elapsedMs) })
    } catch (error) {
      this._end(attempt)
      if (attempt.isAborted) return
      this._log.info('configuration-transfer-failed', { source, from: fromVersion, problem: (error as Error).message, ...peerCallFields(error) })
      if (isFirstTry) this._askOthers()
      return
    }
    this._end(attempt)
    this._askOthers()
  }

  private _end (attempt: TransferAttempt): void {
    attempt.end()
    this._attempts.delete(attempt)
  }

  /** A change of the version that was replaced is no longer of use. */
  private _endAttempts (): void {
    this._tried.clear()
    for (const attempt of this._attempts) attempt.abort()
  }

  private _forgetTried (): void {
    if (this._attempts.size === 0 && this._clock.now() - this._firstTriedAt >= TRIED_LIFETIME_MS) this._tried.clear()
  }
}
