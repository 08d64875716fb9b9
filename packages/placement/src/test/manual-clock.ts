import type { PlacementClock } from '../placement-clock.js'

/** A clock that stands still until a test moves it. */
export class ManualClock implements PlacementClock {
  private _now = 0
  private _timers: Array<{ at: number, resolve: () => void }> = []

  now (): number {
    return this._now
  }

  sleep (ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      this._timers.push({ at: this._now + ms, resolve })
      signal?.addEventListener('abort', () => resolve(), { once: true })
    })
  }

  async advance (ms: number): Promise<void> {
    this._now += ms
    const due = this._timers.filter((timer) => timer.at <= this._now)
    this._timers = this._timers.filter((timer) => timer.at > this._now)
    for (const timer of due) timer.resolve()
    // Two turns of the microtask queue: one for the sleeper, one for who awaits it.
    await Promise.resolve()
    await Promise.resolve()
  }
}
