import type { Clock } from '@mimosarock/coordination/clock.js'

/** Number of event loop turns after which all work that does not wait for a timer has completed. */
const SETTLING_TURNS = 4

interface Timer {
  readonly dueAt: number
  readonly fire: () => void
}

/** Clock that advances to the next timer when no other work is pending. */
export class VirtualClock implements Clock {
  private _time = 0
  private _timers: Timer[] = []

  now (): number {
    return this._time
  }

  wallNow (): number {
    return 1_700_000_000_000 + this._time
  }

  sleep (ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted === true) {
        resolve()
        return
      }
      const timer: Timer = { dueAt: this._time + Math.max(ms, 0), fire: () => finish() }
      const finish = (): void => {
        this._timers = this._timers.filter((other) => other !== timer)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      this._timers.push(timer)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  /** Fires timers in chronological order until the condition holds; throws if no timer within `timeoutMs` is left. */
  async runUntil (condition: () => boolean, timeoutMs = 10_000): Promise<void> {
    const deadline = this._time + timeoutMs
    for (;;) {
      for (let turn = 0; turn < SETTLING_TURNS; turn += 1) await new Promise((resolve) => setImmediate(resolve))
      if (condition()) return
      const next = this._timers.reduce<Timer | undefined>((first, timer) => first === undefined || timer.dueAt < first.dueAt ? timer : first, undefined)
      if (next === undefined || next.dueAt > deadline) throw new Error(`condition not met in time: ${condition.toString()}`)
      this._time = Math.max(this._time, next.dueAt)
      next.fire()
    }
  }
}
