import type { Clock } from '@mimosarock/coordination/clock.js'

/** A manual clock: its time changes only when a test advances it. */
export class SteppedClock implements Clock {
  private _now = 0
  private _timers: Array<{ dueAt: number, resolve: () => void }> = []

  now (): number {
    return this._now
  }

  wallNow (): number {
    return this._now
  }

  sleep (ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      this._timers.push({ dueAt: this._now + ms, resolve })
      signal?.addEventListener('abort', () => resolve(), { once: true })
    })
  }

  async advance (ms: number): Promise<void> {
    this._now += ms
    const due = this._timers.filter((timer) => timer.dueAt <= this._now)
    this._timers = this._timers.filter((timer) => timer.dueAt > this._now)
    for (const timer of due) timer.resolve()
    await new Promise((resolve) => setImmediate(resolve))
  }
}
