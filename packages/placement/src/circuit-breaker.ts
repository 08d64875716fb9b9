import type { CircuitBreakerOptions } from './circuit-breaker-options.js'
import { CircuitState } from './circuit-state.js'

/** A silence costs a caller far more time than a refusal, so it counts for two failures. */
const FAILURES_OF_A_SILENCE = 2

/**
 * Keeps calls from an endpoint that fails. It opens on consecutive failures and silences; once its time is
 * over, one probe at a time is let through until one succeeds.
 */
export class CircuitBreaker {
  private readonly _options: CircuitBreakerOptions
  private _failures = 0
  private _silentAt = -Infinity
  private _openUntil = 0
  private _openMs: number
  private _open = false
  private _probing = false

  /**
   * @param options what the breaker works with
   */
  constructor (options: CircuitBreakerOptions) {
    this._options = options
    this._openMs = options.openMs
  }

  /** What the circuit lets through now. */
  get state (): CircuitState {
    if (!this._open) return CircuitState.CLOSED
    return this._options.clock.now() < this._openUntil ? CircuitState.OPEN : CircuitState.HALF_OPEN
  }

  /** Time until a probe may be made, in milliseconds; 0 if one may be made now. */
  get retryAfterMs (): number {
    return this._open ? Math.max(0, this._openUntil - this._options.clock.now()) : 0
  }

  /**
   * Asks to make a call. In a half-open circuit only one caller gets it, and must note how it went.
   * @returns whether the call may be made
   */
  tryPass (): boolean {
    const state = this.state
    if (state === CircuitState.CLOSED) return true
    if (state === CircuitState.OPEN || this._probing) return false
    this._probing = true
    return true
  }

  /** Notes a call that the endpoint answered. */
  noteSuccess (): void {
    // An answer to a call from before the circuit opened does not prove that new ones work.
    if (this._open && !this._probing) return
    this._open = false
    this._probing = false
    this._failures = 0
    this._openMs = this._options.openMs
  }

  /** Notes a call that the endpoint refused to take or broke off. */
  noteFailure (): void {
    this._fail(1)
  }

  /** Notes a call in which the endpoint fell silent. */
  noteSilence (): void {
    const now = this._options.clock.now()
    const sameBurst = now - this._silentAt < (this._options.burstMs ?? 0)
    // Connections that fall silent together tell of one cause between the ends, not of an endpoint that is gone.
    if (sameBurst && !this._probing) return
    this._silentAt = now
    this._fail(FAILURES_OF_A_SILENCE)
  }

  private _fail (failures: number): void {
    if (this._open && !this._probing) return
    this._failures += failures
    if (this._probing) this._openMs = Math.min(this._openMs * 2, this._options.maximumOpenMs)
    else if (this._failures < this._options.consecutiveFailures) return
    this._open = true
    this._probing = false
    this._failures = 0
    this._openUntil = this._options.clock.now() + this._openMs
  }
}
