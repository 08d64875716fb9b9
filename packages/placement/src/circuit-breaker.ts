import type { CircuitBreakerOptions } from './circuit-breaker-options.js'
import { CircuitState } from './circuit-state.js'

/** A timeout counts as two failures because it costs a caller far more time than a refused request. */
const FAILURES_PER_TIMEOUT = 2

/**
 * Circuit breaker that stops requests to a failing endpoint. Consecutive failures and timeouts open the circuit.
 * After the open interval it is half-open: one probe at a time is permitted, and a successful probe closes it.
 */
export class CircuitBreaker {
  private readonly _options: CircuitBreakerOptions
  private _failures = 0
  private _lastTimeoutAt = -Infinity
  private _openUntil = 0
  private _openMs: number
  private _open = false
  private _probeInFlight = false

  /**
   * @param options thresholds, intervals and the clock of the circuit breaker
   */
  constructor (options: CircuitBreakerOptions) {
    this._options = options
    this._openMs = options.openMs
  }

  /** Current state of the circuit. */
  get state (): CircuitState {
    if (!this._open) return CircuitState.CLOSED
    return this._options.clock.now() < this._openUntil ? CircuitState.OPEN : CircuitState.HALF_OPEN
  }

  /** Time until a probe is permitted, in milliseconds; 0 if the circuit is not open. */
  get retryAfterMs (): number {
    return this._open ? Math.max(0, this._openUntil - this._options.clock.now()) : 0
  }

  /**
   * Requests permission to send a request. A half-open circuit permits one probe at a time; whoever sends the probe
   * must record its outcome.
   * @returns whether the request may be sent
   */
  tryAcquire (): boolean {
    const state = this.state
    if (state === CircuitState.CLOSED) return true
    if (state === CircuitState.OPEN || this._probeInFlight) return false
    this._probeInFlight = true
    return true
  }

  /** Records a request that the endpoint answered. A successful probe closes the circuit. */
  recordSuccess (): void {
    // A response to a request sent before the circuit opened does not prove that new requests succeed.
    if (this._open && !this._probeInFlight) return
    this._open = false
    this._probeInFlight = false
    this._failures = 0
    this._openMs = this._options.openMs
  }

  /** Records a request that failed, for example with a broken connection or a server error. */
  recordFailure (): void {
    this._addFailures(1)
  }

  /** Records a request that timed out because the endpoint sent no data. */
  recordTimeout (): void {
    const now = this._options.clock.now()
    const sameBurst = now - this._lastTimeoutAt < (this._options.timeoutBurstMs ?? 0)
    // Connections that time out together indicate one common cause on the network path, not a lost endpoint.
    if (sameBurst && !this._probeInFlight) return
    this._lastTimeoutAt = now
    this._addFailures(FAILURES_PER_TIMEOUT)
  }

  private _addFailures (failures: number): void {
    if (this._open && !this._probeInFlight) return
    this._failures += failures
    if (this._probeInFlight) this._openMs = Math.min(this._openMs * 2, this._options.maximumOpenMs)
    else if (this._failures < this._options.failureThreshold) return
    this._open = true
    this._probeInFlight = false
    this._failures = 0
    this._openUntil = this._options.clock.now() + this._openMs
  }
}
