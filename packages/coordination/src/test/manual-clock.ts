import type { Clock } from '../clock.js'

/** A clock that a test sets through `time`; sleeps end at once. */
export class ManualClock implements Clock {
  time = 0

  now (): number {
    return this.time
  }

  wallNow (): number {
    return this.time
  }

  async sleep (): Promise<void> {}
}
