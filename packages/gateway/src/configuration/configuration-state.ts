import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import { ConfigurationInForce } from './configuration-in-force.js'

/**
 * The configuration that this process knows, and how old that knowledge is. Only newer versions are taken, so that
 * no process goes back.
 */
export class ConfigurationState {
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private _inForce: ConfigurationInForce | undefined
  private _verifiedAt = -Infinity

  /**
   * @param clock counts suspensions, since knowledge ages during them
   * @param log takes a line for each version
   */
  constructor (clock: ElapsedClock, log: EventLog) {
    this._clock = clock
    this._log = log
  }

  /** The configuration in force; undefined until the first one is known. */
  get inForce (): ConfigurationInForce | undefined {
    return this._inForce
  }

  /** Version in force; 0 for none. */
  get version (): number {
    return this._inForce?.configuration.version ?? 0
  }

  /** Moment, by the clock, at which the store held no newer version than this one. */
  get verifiedAt (): number {
    return this._verifiedAt
  }

  /** Milliseconds since the store is known to have held no newer version. */
  get ageMs (): number {
    return this._clock.now() - this._verifiedAt
  }

  /**
   * Takes a version unless it is older than the one in force.
   * @param configuration the version
   * @param source who told it, for the log
   */
  adopt (configuration: GatewayConfiguration, source: string): void {
    if (configuration.version <= this.version) return
    const replaced = this.version
    this._inForce = new ConfigurationInForce(configuration)
    this._log.info('configuration-in-force', {
      version: configuration.version, replaced, source, routes: configuration.routes.length
    })
  }

  /**
   * Notes that the store held nothing newer at a moment.
   * @param moment by the clock
   */
  verified (moment: number): void {
    if (moment > this._verifiedAt) this._verifiedAt = moment
  }
}
