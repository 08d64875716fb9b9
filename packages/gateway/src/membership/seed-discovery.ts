import { pause } from './pause.js'
import type { SyncAnswer } from './sync-answer.js'

/** How long a router that starts waits for an answer of a seed before it serves with what the store holds. */
const MAXIMUM_SEED_WAIT_MS = 250

/** Contacts the seeds when a router starts. They may know that the store has come back from an older copy, and a newer configuration. */
export class SeedDiscovery {
  private readonly _seeds: readonly string[]
  private readonly _sync: (address: string) => Promise<SyncAnswer | undefined>
  private _hasAsked = false
  private _onAsked: () => void = () => undefined

  /**
   * @param seeds addresses of the seeds, without this router
   * @param sync syncs with the router at an address; resolves with undefined if it does not answer
   */
  constructor (seeds: readonly string[], sync: (address: string) => Promise<SyncAnswer | undefined>) {
    this._seeds = seeds
    this._sync = sync
  }

  /** Whether a seed has answered since the start, or none is expected to. */
  get hasAsked (): boolean {
    return this._hasAsked
  }

  /**
   * Sets the listener that is called when `hasAsked` becomes true; it replaces the previous one.
   * @param onAsked listener; it is called without arguments
   */
  onAsked (onAsked: () => void): void {
    this._onAsked = onAsked
  }

  /**
   * Contacts all seeds. Resolves when each has answered or failed.
   * @param signal ends the wait for the first answer
   */
  async run (signal: AbortSignal): Promise<void> {
    const answers = this._seeds.map((seed) => this._sync(seed))
    const allAsked = Promise.all(answers)
    const firstAnswer = new Promise<void>((resolve) => {
      for (const answer of answers) answer.then((received) => { if (received !== undefined) resolve() }, () => undefined)
    })
    await Promise.race([firstAnswer, allAsked, pause(MAXIMUM_SEED_WAIT_MS, signal)])
    this._hasAsked = true
    this._onAsked()
    await allAsked
  }
}
