import type { Clock } from './clock.js'

/** Clock that reads the system time and sleeps with timers of the runtime. */
export class SystemClock implements Clock {
  /** Returns the monotonic time in milliseconds. */
  now (): number {
    return performance.now()
  }

  /** Returns the wall-clock time in milliseconds since the epoch. */
  wallNow (): number {
    return Date.now()
  }

  /**
   * Resolves after a delay.
   * @param ms delay in milliseconds
   * @param signal ends the delay early; the promise then resolves instead of rejecting
   */
  sleep (ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve()
        return
      }
      const finish = (): void => {
        clearTimeout(timer)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, ms)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }
}
