import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { pause } from '../membership/pause.js'
import type { HolderPersistenceOptions } from './holder-persistence-options.js'

/** Interval between two saves, in milliseconds; changes of the last interval are lost if all routers stop at the same time. */
const SAVE_INTERVAL_MS = 2_000
/** Timeout of one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500
/** Maximum number of saved keys; with their holders they fit into one record of the store. */
const MAXIMUM_KEYS = 4_000

/**
 * Saves the holders of cached contexts to the store, since VMs have no durable storage, and loads them at startup. A
 * router that starts without them would send prompts to endpoints that must recompute a context although another
 * endpoint still holds it, in particular after a restart of the whole fleet.
 */
export class HolderPersistence {
  private readonly _options: HolderPersistenceOptions
  private readonly _log: EventLog
  private _lastSavedCursor = 0

  /**
   * @param options store, table and role of this router
   * @param log receives an entry after a load and after a failed load or save
   */
  constructor (options: HolderPersistenceOptions, log: EventLog) {
    this._options = options
    this._log = log
  }

  /**
   * Loads the holders once, then saves them periodically until the signal is aborted.
   * @param signal stops the task
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
      const notes = await this._options.store.loadHolders(withTimeout(signal))
      for (const note of notes) this._options.holders.learn(note.key, note.endpointId)
      this._lastSavedCursor = this._options.holders.cursor
      this._log.info('holders-loaded', { notes: notes.length })
    } catch (error) {
      this._log.info('holders-not-loaded', { problem: (error as Error).message })
    }
  }

  private async _save (signal: AbortSignal): Promise<void> {
    const { holders, store } = this._options
    const { cursor } = holders
    if (cursor === this._lastSavedCursor) return
    try {
      await store.saveHolders(holders.recent(MAXIMUM_KEYS), withTimeout(signal))
      this._lastSavedCursor = cursor
    } catch (error) {
      this._log.info('holders-not-saved', { problem: (error as Error).message })
    }
  }
}

function withTimeout (signal: AbortSignal): AbortSignal {
  return AbortSignal.any([signal, AbortSignal.timeout(CALL_TIMEOUT_MS)])
}
