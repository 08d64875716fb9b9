import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'

/** Number of requests that wait at an endpoint, above which it rejects them. */
const ENDPOINT_QUEUE = 24

/** Endpoint of the simulation, with a queue of its own. */
export class SimulatedSlotEndpoint {
  readonly inFlightSamples: { at: number, count: number }[] = []
  isGone = false
  running = 0
  served = 0
  private readonly _queue: (() => void)[] = []

  constructor (readonly id: string, readonly slots: number, private readonly _clock: SteppedClock, private readonly _serviceMs: () => number, readonly slowdown: () => number) {}

  get inFlight (): number {
    return this.running + this._queue.length
  }

  async serve (): Promise<CallOutcome> {
    if (this.isGone) return CallOutcome.NOT_SENT
    if (this._queue.length >= ENDPOINT_QUEUE) return CallOutcome.REJECTED
    this.inFlightSamples.push({ at: this._clock.now(), count: this.inFlight + 1 })
    if (this.running >= this.slots) await new Promise<void>((resolve) => this._queue.push(resolve))
    this.running += 1
    await this._clock.sleep(this._serviceMs() * this.slowdown())
    return CallOutcome.COMPLETE
  }

  end (): void {
    this.running -= 1
    this.served += 1
    this._queue.shift()?.()
  }
}
