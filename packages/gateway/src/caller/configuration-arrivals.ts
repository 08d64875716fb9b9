import type { ConfigurationState } from '../configuration/configuration-state.js'

/** Maximum number of requests that wait; more of them are refused at once. */
const MAXIMUM_WAITING = 500

/** Lets requests wait until the next version of the configuration is in force. */
export class ConfigurationArrivals {
  private readonly _waiting = new Set<() => void>()

  /**
   * @param configuration configuration to observe
   */
  constructor (configuration: ConfigurationState) {
    configuration.onInForce(() => {
      for (const end of this._waiting) end()
    })
  }

  /** Whether no further request may wait. */
  get isFull (): boolean {
    return this._waiting.size >= MAXIMUM_WAITING
  }

  /**
   * Resolves when a version has been put in force, or after a given time.
   * @param maximumMs maximum time, in milliseconds
   */
  async wait (maximumMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const end = (): void => {
        clearTimeout(timer)
        this._waiting.delete(end)
        resolve()
      }
      const timer = setTimeout(end, maximumMs)
      this._waiting.add(end)
    })
  }
}
