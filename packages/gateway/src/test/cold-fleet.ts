import { vi } from 'vitest'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { LimitedFleet } from './limited-fleet.js'

const SETTLING_MS = 3_000
const AWAY_MS = 4_000
const HEARTBEAT_MS = 1_000
const RULE = { durationMs: 3_000, requestsPerSecond: 20 }

/** Fleet whose first endpoints become cold under load, with a rule of 20 requests a second, an overage of 1.5 and a tolerance of 5. */
export class ColdFleet {
  /** Requests that may reach a cold endpoint in any second. */
  static readonly ALLOWED = 35
  /** Rate at which permits for a cold endpoint are issued. */
  static readonly PERMITS_PER_SECOND = 34 / 3.25
  readonly fleet: LimitedFleet
  coldAt = Infinity
  coldUntil = Infinity
  private readonly _coldCount: number
  private _isAway = false
  private _isRestarted = false

  constructor (load: ConstructorParameters<typeof LimitedFleet>[0], coldCount: number, signal: AbortSignal) {
    this.fleet = new LimitedFleet(load, signal)
    this._coldCount = coldCount
    const slow = this.fleet.fleet
    slow.stored = { ...slow.stored, version: 2, services: [...slow.stored.services, { name: 'app', maximumConnections: undefined, warmUp: RULE }] }
    slow.registrationOf = (usual) => this._registrationOf(usual)
  }

  /** Lets the endpoints go away and come back, or become cold without a restart; resolves when they have. */
  async becomeCold (coldMs: number, restarts = true): Promise<void> {
    await vi.advanceTimersByTimeAsync(SETTLING_MS)
    this._isAway = restarts
    await vi.advanceTimersByTimeAsync(AWAY_MS)
    this._isAway = false
    this._isRestarted = restarts
    this.coldAt = Date.now()
    this.coldUntil = this.coldAt + coldMs
  }

  /** Largest number of requests that reached one of them in any second while it was cold, from some time after that on. */
  mostInASecond (afterMs = 0): number {
    return this.fleet.most(this._coldCount, HEARTBEAT_MS, this.coldAt + afterMs, this.coldUntil)
  }

  /** Requests a second that reached each of them from some time after they became cold until another one. */
  rateOfEach (fromMs: number, toMs: number): number {
    return this.fleet.rate(this._coldCount, this.coldAt + fromMs, this.coldAt + toMs) / this._coldCount
  }

  /** Endpoints register each second, at different times, and state the cold time that is left then. */
  private _registrationOf (usual: EndpointEntry): EndpointEntry | undefined {
    const index = Number(usual.id.slice(1))
    if (index < this._coldCount && this._isAway) return undefined
    if (index >= this._coldCount || this.coldAt === Infinity) return usual
    const phaseMs = index * 137 % HEARTBEAT_MS
    const heartbeats = Math.floor((Date.now() - this.coldAt - phaseMs) / HEARTBEAT_MS)
    const writtenAt = heartbeats < 0 ? this.coldAt : this.coldAt + heartbeats * HEARTBEAT_MS + phaseMs
    const left = this.coldUntil - writtenAt
    return { ...usual, startedAt: this._isRestarted ? 2 : usual.startedAt, revision: Math.floor(writtenAt), ...(left > 0 ? { warmUpLeftMs: left } : {}) }
  }
}
