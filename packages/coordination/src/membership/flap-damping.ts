/** Penalty for each removal that the router did not announce. */
const REMOVAL_PENALTY = 1
/** A router that comes back with a penalty above this threshold is suppressed. */
const SUPPRESS_PENALTY = 2.5
/** A suppressed router is admitted again once its penalty falls below this threshold. */
const REUSE_PENALTY = 1.25
const HALF_LIFE_MS = 60_000
/** Penalties below this value are deleted. */
const MINIMUM_PENALTY = 0.05

interface Penalty {
  value: number
  updatedAt: number
  suppressed: boolean
}

/**
 * Suppresses routers that repeatedly join and fail, to keep endpoints from changing owners each time. Uses the scheme
 * of RFC 2439 (route flap damping): each removal adds a penalty that decays exponentially. Penalties are stored by
 * peer address, since a process that crashes and restarts on its VM gets a new id each time.
 */
export class FlapDamping {
  private readonly _penalties = new Map<string, Penalty>()

  /**
   * Adds the penalty for a removal that was not announced.
   * @param peerAddress IP address and port of the router's JSON-RPC 2.0 server
   * @param now monotonic time, in milliseconds
   */
  recordRemoval (peerAddress: string, now: number): void {
    const value = this._decayedPenalty(peerAddress, now) + REMOVAL_PENALTY
    const suppressed = value > SUPPRESS_PENALTY || (this._penalties.get(peerAddress)?.suppressed ?? false)
    this._penalties.set(peerAddress, { value, updatedAt: now, suppressed })
  }

  /**
   * Returns whether the router at an address is suppressed.
   * @param peerAddress IP address and port of the router's JSON-RPC 2.0 server
   * @param now monotonic time, in milliseconds
   */
  isSuppressed (peerAddress: string, now: number): boolean {
    const penalty = this._penalties.get(peerAddress)
    if (penalty === undefined) return false
    const value = this._decayedPenalty(peerAddress, now)
    if (value < REUSE_PENALTY) penalty.suppressed = false
    if (value < MINIMUM_PENALTY) this._penalties.delete(peerAddress)
    return penalty.suppressed
  }

  private _decayedPenalty (peerAddress: string, now: number): number {
    const penalty = this._penalties.get(peerAddress)
    if (penalty === undefined) return 0
    return penalty.value * Math.pow(0.5, (now - penalty.updatedAt) / HALF_LIFE_MS)
  }
}
