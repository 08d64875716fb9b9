import type { Clock } from './clock.js'

/** The machine's own clock. */
export class SystemClock implements Clock {
  /** Milliseconds of the monotonic clock. */
  now (): number {
    return performance.now()
  }

  /** Milliseconds since the epoch. */
  wallNow (): number {
    return Date.now()
  }

  /**
   * Waits.
   * @param ms how long, in milliseconds
   * @param signal ends the wait early without an error
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
