import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { pause } from '../membership/pause.js'
import type { HolderKeeperOptions } from './holder-keeper-options.js'

/** Pause between two savings; so much is lost when all routers end at once. */
const SAVE_INTERVAL_MS = 2_000
/** Longest time for one call. */
const CALL_TIMEOUT_MS = 1_500
/** Keys that are kept; with their holders they fit into one record of the store. */
const MAXIMUM_KEYS = 4_000

/**
 * Keeps who holds which contexts in the store, since nothing lasts on a VM: routers that start, above all when
 * the whole fleet starts again, would have chats computed anew that an endpoint still holds.
 */
export class HolderKeeper {
  private readonly _options: HolderKeeperOptions
  private readonly _log: EventLog
  private _savedCursor = 0

  /**
   * @param options what it works with
   * @param log takes a line when the store refuses
   */
  constructor (options: HolderKeeperOptions, log: EventLog) {
    this._options = options
    this._log = log
  }

  /**
   * Loads once, then saves at intervals.
   * @param signal ends it
   */
  async run (signal: AbortSignal): Promise<void> {
    await this._load(signal)
    while (!signal.aborted) {
      await pause(SAVE_INTERVAL_MS, signal)
      if (!signal.aborted && this._options.isSaving()) await this._save(signal)
    }
  }

  private async _load (signal: AbortSignal): Promise<void> {
    try {
      const notes = await this._options.store.loadHolders(limitOf(signal))
      for (const note of notes) this._options.holders.learn(note.key, note.endpointId)
      this._savedCursor = this._options.holders.cursor
      this._log.info('holders-loaded', { notes: notes.length })
    } catch (error) {
      this._log.info('holders-not-loaded', { problem: (error as Error).message })
    }
  }

  private async _save (signal: AbortSignal): Promise<void> {
    const { holders, store } = this._options
    const { cursor } = holders
    if (cursor === this._savedCursor) return
    try {
      await store.saveHolders(holders.recent(MAXIMUM_KEYS), limitOf(signal))
      this._savedCursor = cursor
    } catch (error) {
      this._log.info('holders-not-saved', { problem: (error as Error).message })
    }
  }
}

function limitOf (signal: AbortSignal): AbortSignal {
  return AbortSignal.any([signal, AbortSignal.timeout(CALL_TIMEOUT_MS)])
}
