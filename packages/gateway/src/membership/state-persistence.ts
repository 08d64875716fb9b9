import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { pause } from './pause.js'
import { ProgressTimeout } from './progress-timeout.js'
import type { SavedPart } from './saved-part.js'
import type { StatePersistenceOptions } from './state-persistence-options.js'

/** Interval between two saves of the holders. */
const SAVE_HOLDERS_INTERVAL_MS = 2_000
/** Timeout of a save, in milliseconds. */
const SAVE_TIMEOUT_MS = 1_500
/** Limits of a load, which reads a long record while the router also loads everything else. */
const LOAD_LIMITS = { progressMs: 1_500, totalMs: 15_000 }
/** Maximum number of saved keys of contexts; with their holders they fit into one record of the store. */
const MAXIMUM_KEYS = 4_000

/** When a part was last saved. */
interface LastSave {
  readonly revision: number
  /** Era of the store in which the save was acknowledged; a later one may lack it. */
  readonly era: number | undefined
}

/**
 * Saves what only routers know to the store, since VMs have no durable storage: the holders of cached contexts, which it also loads at startup, without
 * which prompts would go to endpoints that must recompute a context although another one holds it, and other parts of the state.
 */
export class StatePersistence {
  private readonly _options: StatePersistenceOptions
  private readonly _log: EventLog
  private readonly _parts: readonly SavedPart[]
  private readonly _lastSaves = new Map<SavedPart, LastSave>()

  /**
   * @param options store, state and role of this router
   * @param log receives an entry after a load and after a failed load or save
   */
  constructor (options: StatePersistenceOptions, log: EventLog) {
    const { store, holders, otherParts } = options
    this._options = options
    this._log = log
    this._parts = [
      {
        name: 'holders',
        intervalMs: SAVE_HOLDERS_INTERVAL_MS,
        revision: () => holders.cursor,
        save: async (signal) => await store.saveHolders(holders.recent(MAXIMUM_KEYS), signal)
      },
      ...otherParts
    ]
  }

  /**
   * Loads the state once, then saves it periodically until the signal is aborted.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    await this._load(signal)
    await Promise.all(this._parts.map(async (part) => await this._saveRepeatedly(part, signal)))
  }

  private async _saveRepeatedly (part: SavedPart, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(part.intervalMs, signal)
      if (!signal.aborted && this._options.isSaving()) await this._save(part, signal)
    }
  }

  private async _load (signal: AbortSignal): Promise<void> {
    const { store, holders } = this._options
    const timeout = new ProgressTimeout(LOAD_LIMITS)
    try {
      const notes = await store.loadHolders(AbortSignal.any([signal, timeout.signal]), () => timeout.recordProgress())
      for (const note of notes) holders.learn(note.key, note.endpointId)
      for (const part of this._parts) this._lastSaves.set(part, { revision: 0, era: store.era.number })
      this._log.info('holders-loaded', { notes: notes.length })
    } catch (error) {
      this._log.info('holders-not-loaded', { problem: (error as Error).message })
    } finally {
      timeout.stop()
    }
  }

  private async _save (part: SavedPart, signal: AbortSignal): Promise<void> {
    const { store } = this._options
    const revision = part.revision()
    const last = this._lastSaves.get(part)
    // Nothing was loaded or learned yet, and the store may have more.
    if (last === undefined && revision === 0) return
    if (revision === last?.revision && store.era.number === last.era) return
    try {
      await part.save(AbortSignal.any([signal, AbortSignal.timeout(SAVE_TIMEOUT_MS)]))
      this._lastSaves.set(part, { revision, era: store.era.number })
    } catch (error) {
      this._log.info(`${part.name}-not-saved`, { problem: (error as Error).message })
    }
  }
}
