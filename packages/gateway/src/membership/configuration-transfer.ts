import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ConfigurationState } from '../configuration/configuration-state.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import { peerCallFields } from './peer-call-fields.js'
import type { TransferCall } from './transfer-call.js'

/**
 * Transfers large changes of the configuration from other routers, one at a time. A transfer can take seconds on a slow
 * link; sync requests continue meanwhile, so that it delays neither loads nor the removal of endpoints.
 */
export class ConfigurationTransfer {
  private readonly _configuration: ConfigurationState
  private readonly _call: TransferCall
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private _isRunning = false
  private _failedSource: string | undefined
  private _onAdopted: () => void = () => undefined

  /**
   * @param configuration configuration to update
   * @param call requests a change from another router
   * @param clock clock for the duration of a transfer, in the log
   * @param log logs each transfer
   */
  constructor (configuration: ConfigurationState, call: TransferCall, clock: ElapsedClock, log: EventLog) {
    this._configuration = configuration
    this._call = call
    this._clock = clock
    this._log = log
  }

  /** Whether a transfer is in progress. */
  get isRunning (): boolean {
    return this._isRunning
  }

  /**
   * Sets the listener that is called after each adopted change; it replaces the previous one.
   * @param onAdopted listener; it is called without arguments
   */
  onAdopted (onAdopted: () => void): void {
    this._onAdopted = onAdopted
  }

  /**
   * Starts a transfer unless one is in progress.
   * @param source address of the router to request the change from, host:port
   * @param alternative address of another router that has the change, used if the last transfer from `source` failed
   */
  start (source: string, alternative: string): void {
    if (this._isRunning) return
    this._isRunning = true
    this._run(source === this._failedSource ? alternative : source).finally(() => { this._isRunning = false }).then(this._onAdopted, () => undefined)
  }

  private async _run (source: string): Promise<void> {
    const startedAt = this._clock.now()
    const fromVersion = this._configuration.version
    try {
      const { patches, configuration } = await this._call(source, fromVersion)
      if (configuration !== undefined) this._configuration.adopt(configuration, source)
      if (patches !== undefined) this._configuration.adoptPatches(patches, source)
      if (this._configuration.version === fromVersion) throw new Error('the router has no usable change')
      this._failedSource = undefined
      this._log.info('configuration-transferred', {
        source, from: fromVersion, to: this._configuration.version, elapsed_ms: Math.round(this._clock.now() - startedAt)
      })
    } catch (error) {
      this._failedSource = source
      this._log.info('configuration-transfer-failed', { source, from: fromVersion, problem: (error as Error).message, ...peerCallFields(error) })
      throw error
    }
  }
}
