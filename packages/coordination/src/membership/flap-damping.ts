/** Penalty of one removal that the router did not announce. */
const REMOVAL_PENALTY = 1
/** Above it a router that comes back is held back. */
const HOLD_PENALTY = 2.5
/** Below it a router that was held back is let in. */
const RELEASE_PENALTY = 1.25
const HALF_LIFE_MS = 60_000
/** Penalties below it are forgotten. */
const FORGOTTEN_PENALTY = 0.05

interface Penalty {
  value: number
  at: number
  held: boolean
}

/**
 * Holds back routers that come and go, so that endpoints do not change owners with each turn. Penalties go by
 * peer address, so a process that crashes and restarts on its VM under new ids is damped as well. The scheme is
 * that of RFC 2439, route flap damping: a penalty for each removal, halved with time.
 */
export class FlapDamping {
  private readonly _penalties = new Map<string, Penalty>()

  /**
   * Notes a removal that was not announced.
   * @param peerAddress the router's address
   * @param now monotonic time, in milliseconds
   */
  noteRemoval (peerAddress: string, now: number): void {
    const value = this._valueOf(peerAddress, now) + REMOVAL_PENALTY
    const held = value > HOLD_PENALTY || (this._penalties.get(peerAddress)?.held ?? false)
    this._penalties.set(peerAddress, { value, at: now, held })
  }

  /**
   * Whether a router at this address is held back.
   * @param peerAddress the router's address
   * @param now monotonic time, in milliseconds
   */
  isHeld (peerAddress: string, now: number): boolean {
    const penalty = this._penalties.get(peerAddress)
    if (penalty === undefined) return false
    const value = this._valueOf(peerAddress, now)
    if (value < RELEASE_PENALTY) penalty.held = false
    if (value < FORGOTTEN_PENALTY) this._penalties.delete(peerAddress)
    return penalty.held
  }

  private _valueOf (peerAddress: string, now: number): number {
    const penalty = this._penalties.get(peerAddress)
    if (penalty === undefined) return 0
    return penalty.value * Math.pow(0.5, (now - penalty.at) / HALF_LIFE_MS)
  }
}
