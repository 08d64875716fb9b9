import type { Clock } from '../clock.js'

/** A clock that a test moves by hand; sleeps end at once. */
export class HandClock implements Clock {
  time = 0

  now (): number {
    return this.time
  }

  wallNow (): number {
    return this.time
  }

  async sleep (): Promise<void> {}
}
