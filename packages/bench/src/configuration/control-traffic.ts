import type { FleetRouter } from '../fleet/fleet-router.js'

const SAMPLE_MS = 1_000
const WINDOW_SAMPLES = 10
const MILLISECONDS_PER_SECOND = 1_000

/** Samples the control traffic of routers to find the highest rate of any router in any window of 10 s. */
export class ControlTraffic {
  private readonly _samples = new Map<string, number[]>()

  /**
   * Samples until the signal aborts.
   * @param routers returns the running routers
   * @param signal stops the sampling
   */
  async run (routers: () => readonly FleetRouter[], signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const router of routers()) {
        const samples = this._samples.get(router.process.id) ?? []
        samples.push(router.process.controlBytes)
        this._samples.set(router.process.id, samples)
      }
      await new Promise((resolve) => setTimeout(resolve, SAMPLE_MS))
    }
  }

  /** Returns the highest rate of any router in any window, in bytes per second; 0 before the first whole window. */
  maximumBytesPerSecond (): number {
    const rates = [...this._samples.values()].flatMap((samples) => samples.slice(WINDOW_SAMPLES)
      .map((bytes, index) => (bytes - (samples[index] ?? 0)) * MILLISECONDS_PER_SECOND / (WINDOW_SAMPLES * SAMPLE_MS)))
    return Math.round(Math.max(0, ...rates))
  }
}
