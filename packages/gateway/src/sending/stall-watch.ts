import type { WatchedCall } from './watched-call.js'

/** Interval between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = 100
/** Checks without any part from an endpoint, while a call is in progress, after which it counts as silent. */
const SILENT_CHECKS = 7
/** Checks without progress after which a call counts as stalled if its endpoint is silent. */
const STALLED_AT_SILENT_ENDPOINT_CHECKS = 12
/** Checks without progress after which a call counts as stalled although its endpoint sends on other calls. */
const STALLED_CHECKS = 20

/** What a call had received at the last check. */
interface Observation {
  parts: number
  bytes: number
  checksWithoutParts: number
  checksWithoutProgress: number
}

/**
 * Watches calls to endpoints for a lack of progress. An endpoint that has crashed without closing its connections, or
 * that can't be reached any more, sends nothing; a defective one may go on sending a byte now and then without ever
 * completing an event.
 *
 * Counts checks instead of time: a process that was paused or is short of processor time has not read what the
 * endpoints sent meanwhile, and must not blame them for its own delay.
 */
export class StallWatch {
  private readonly _observations = new Map<WatchedCall, Observation>()
  /** Number of the check before which a part was last received, by endpoint, as far as calls that have ended tell. */
  private readonly _heardAtCheck = new Map<string, number>()
  private _silent: ReadonlySet<string> = new Set()
  private _check = 0
  private _timer: NodeJS.Timeout | undefined

  /**
   * Starts watching a call.
   * @param call call that was just sent
   */
  add (call: WatchedCall): void {
    this._observations.set(call, { parts: 0, bytes: 0, checksWithoutParts: 0, checksWithoutProgress: 0 })
    this._timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS).unref()
  }

  /**
   * Stops watching a call.
   * @param call call that has ended
   */
  remove (call: WatchedCall): void {
    if (this._observations.delete(call) && call.receivedParts > 0) this._heardAtCheck.set(call.endpointId, this._check)
  }

  /**
   * Whether an endpoint has sent nothing for some time although calls to it are in progress.
   * @param endpointId id of the endpoint
   */
  isSilent (endpointId: string): boolean {
    return this._silent.has(endpointId)
  }

  /** Checks all calls. Called periodically while there are any. */
  check (): void {
    this._check += 1
    for (const [call, observation] of this._observations) observe(call, observation)
    this._silent = this._findSilent()
    for (const [call, { checksWithoutProgress }] of this._observations) {
      const isEndpointSilent = this._silent.has(call.endpointId)
      if (checksWithoutProgress >= (isEndpointSilent ? STALLED_AT_SILENT_ENDPOINT_CHECKS : STALLED_CHECKS)) call.onStalled(isEndpointSilent)
    }
    this._forgetHeard()
    if (this._observations.size > 0) return
    clearInterval(this._timer)
    this._timer = undefined
  }

  private _findSilent (): ReadonlySet<string> {
    const checksWithoutParts = new Map<string, number>()
    for (const [{ endpointId }, observation] of this._observations) {
      const heardChecksAgo = this._check - (this._heardAtCheck.get(endpointId) ?? -Infinity)
      const fewest = Math.min(heardChecksAgo, observation.checksWithoutParts, checksWithoutParts.get(endpointId) ?? Infinity)
      checksWithoutParts.set(endpointId, fewest)
    }
    return new Set([...checksWithoutParts].filter(([, checks]) => checks >= SILENT_CHECKS).map(([endpointId]) => endpointId))
  }

  private _forgetHeard (): void {
    for (const [endpointId, check] of this._heardAtCheck) if (this._check - check >= SILENT_CHECKS) this._heardAtCheck.delete(endpointId)
  }
}

function observe (call: WatchedCall, observation: Observation): void {
  observation.checksWithoutParts = call.receivedParts === observation.parts && !call.isPaused ? observation.checksWithoutParts + 1 : 0
  observation.checksWithoutProgress = call.usableBytes === observation.bytes && !call.isPaused ? observation.checksWithoutProgress + 1 : 0
  observation.parts = call.receivedParts
  observation.bytes = call.usableBytes
}
