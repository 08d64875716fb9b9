import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { TopicPage } from '../model/topic-page.js'
import type { CrashNote } from '../quarantine/crash-note.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { SavedPart } from './saved-part.js'
import { StoreFeed } from './store-feed.js'
import type { StoredQuarantineOptions } from './stored-quarantine-options.js'

/** Long-poll wait for other crashes; a change is received at once. */
const WAIT_MS = 10_000
/** Pause between two reads. */
const PAUSE_MS = 100
/** Interval at which changes are saved. Requests that crash endpoints come again within seconds. */
const SAVE_INTERVAL_MS = 250

/**
 * Keeps the crashes of quarantined suspects, and those of requests that may soon be quarantined, in the store. Routers that read the store for themselves
 * also read them: routers that start, and those that are cut off from the others, which would otherwise each count crashes of their own.
 *
 * There is one record, which each writer replaces. A writer whose own crashes are not in the record that it reads writes it again, with those it has read.
 */
export class StoredQuarantine {
  private readonly _quarantine: RequestQuarantine
  private readonly _feed: StoreFeed<readonly CrashNote[]>
  private readonly _options: StoredQuarantineOptions
  private _overwrites = 0
  /** Ids of the crashes that this router saved last; reading them again is no news, and their ages are those of the save. */
  private _savedIds: readonly string[] = []
  private _hasRead = false

  /**
   * @param options store, quarantine and role of this router
   * @param clock clock for the time of each read
   * @param log logs the start and end of reading
   */
  constructor (options: StoredQuarantineOptions, clock: ElapsedClock, log: EventLog) {
    this._options = options
    this._quarantine = options.quarantine
    this._feed = new StoreFeed({
      topic: 'crashes',
      reader: options.store.crashes,
      waitMs: () => WAIT_MS,
      pauseMs: PAUSE_MS,
      shouldRead: () => options.isReader() || !this._hasRead,
      onPage: (page) => this._apply(page)
    }, clock, log)
  }

  /** What is to be saved of it. */
  get savedPart (): SavedPart {
    return {
      name: 'quarantine',
      intervalMs: SAVE_INTERVAL_MS,
      revision: () => this._quarantine.revision + this._overwrites,
      save: async (signal) => await this._save(signal)
    }
  }

  /**
   * Reads the record while this router has to, until aborted.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    await this._feed.run(signal)
  }

  private async _save (signal: AbortSignal): Promise<void> {
    const crashes = this._quarantine.crashesToStore()
    this._savedIds = crashes.flatMap(idsOf)
    await this._options.store.saveCrashes(crashes, signal)
  }

  private _apply ({ changes }: TopicPage<readonly CrashNote[]>): void {
    this._hasRead = true
    const stored = changes.at(-1)?.value
    if (stored === undefined) return
    const ids = new Set(stored.flatMap(idsOf))
    if (ids.size === this._savedIds.length && this._savedIds.every((id) => ids.has(id))) return
    this._quarantine.apply({ crashes: stored, clearances: [] }, true)
    if (this._quarantine.crashesToStore().flatMap(idsOf).some((id) => !ids.has(id))) this._overwrites += 1
  }
}

function idsOf ({ crashId, parts }: CrashNote): string[] {
  return parts.map(({ id }) => `${crashId} ${id}`)
}
