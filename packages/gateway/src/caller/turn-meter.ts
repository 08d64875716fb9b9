import type { ProcessPressure } from '../admission/process-pressure.js'
import type { GatewayState } from '../model/gateway-state.js'

/**
 * Measures turns of the event loop in which requests arrive: from the first of them to the end of the turn. It costs
 * nothing while no request comes.
 */
export class TurnMeter {
  private readonly _pressure: ProcessPressure
  private readonly _state: GatewayState
  private _startedAt: number | undefined
  private _lastUtilization = performance.eventLoopUtilization()

  /**
   * @param pressure takes the turns
   * @param state says how many requests are in work
   */
  constructor (pressure: ProcessPressure, state: GatewayState) {
    this._pressure = pressure
    this._state = state
  }

  /** Notes that a request arrived. */
  note (): void {
    if (this._startedAt !== undefined) return
    this._startedAt = performance.now()
    setImmediate(() => this._end())
  }

  private _end (): void {
    this._pressure.recordIteration(performance.now() - (this._startedAt as number), this._state.requestsInWork, () => this._utilization())
    this._startedAt = undefined
  }

  private _utilization (): number {
    const last = this._lastUtilization
    this._lastUtilization = performance.eventLoopUtilization()
    return performance.eventLoopUtilization(this._lastUtilization, last).utilization
  }
}
