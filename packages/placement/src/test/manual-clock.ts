import type { PlacementClock } from '../placement-clock.js'

/** Clock for tests that advances only when `advance` is called. */
export class ManualClock implements PlacementClock {
  private _now = 0
  private _timers: Array<{ dueAt: number, resolve: () => void }> = []

  now (): number {
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
    // Yields for two microtasks: one for the continuation of the sleep, one for the code that awaits its result.
    await Promise.resolve()
    await Promise.resolve()
  }
}
