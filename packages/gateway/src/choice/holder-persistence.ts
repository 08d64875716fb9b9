import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { pause } from '../membership/pause.js'
import { ProgressTimeout } from '../membership/progress-timeout.js'
import type { HolderPersistenceOptions } from './holder-persistence-options.js'

/** Interval between two saves, in milliseconds; changes of the last interval are lost if all routers stop at the same time. */
const SAVE_INTERVAL_MS = 2_000
/** Timeout of a save, in milliseconds. */
const SAVE_TIMEOUT_MS = 1_500
/** Limits of a load, which reads a long record while the router also loads everything else. */
const LOAD_LIMITS = { progressMs: 1_500, totalMs: 15_000 }
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
  /** Era of the store in which the last save or load was acknowledged. A later era may lack it. */
  private _savedEra: number | undefined

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
    const timeout = new ProgressTimeout(LOAD_LIMITS)
    try {
      const notes = await this._options.store.loadHolders(AbortSignal.any([signal, timeout.signal]), () => timeout.recordProgress())
      for (const note of notes) this._options.holders.learn(note.key, note.endpointId)
      this._savedEra = this._options.store.era.number
      this._log.info('holders-loaded', { notes: notes.length })
    } catch (error) {
      this._log.info('holders-not-loaded', { problem: (error as Error).message })
    } finally {
      timeout.stop()
    }
  }

  private async _save (signal: AbortSignal): Promise<void> {
    const { holders, store } = this._options
    const { cursor } = holders
    if (cursor === this._lastSavedCursor && store.era.number === this._savedEra) return
    try {
      await store.saveHolders(holders.recent(MAXIMUM_KEYS), AbortSignal.any([signal, AbortSignal.timeout(SAVE_TIMEOUT_MS)]))
      this._lastSavedCursor = cursor
      this._savedEra = store.era.number
    } catch (error) {
      this._log.info('holders-not-saved', { problem: (error as Error).message })
    }
  }
}
