import type { ProcessPressure } from '../admission/process-pressure.js'
import type { GatewayState } from '../model/gateway-state.js'

/**
 * Measures the iterations of the event loop in which requests arrive, each from its first request to its end. Has no cost
 * while no requests arrive.
 */
export class EventLoopMeter {
  private readonly _pressure: ProcessPressure
  private readonly _state: GatewayState
  private _startedAt: number | undefined
  private _lastUtilization = performance.eventLoopUtilization()

  /**
   * @param pressure overload detection that receives the measurements
   * @param state provides the number of requests in flight
   */
  constructor (pressure: ProcessPressure, state: GatewayState) {
    this._pressure = pressure
    this._state = state
  }

  /** Records that a request arrived; starts a measurement if none is running. */
  recordArrival (): void {
    if (this._startedAt !== undefined) return
    this._startedAt = performance.now()
    setImmediate(() => this._endIteration())
  }

  private _endIteration (): void {
    this._pressure.recordIteration(performance.now() - (this._startedAt as number), this._state.requestsInFlight, () => this._utilization())
    this._startedAt = undefined
  }

  private _utilization (): number {
    const last = this._lastUtilization
    this._lastUtilization = performance.eventLoopUtilization()
    return performance.eventLoopUtilization(this._lastUtilization, last).utilization
  }
}
