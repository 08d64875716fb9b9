import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { pause } from '../membership/pause.js'
import type { RouterTable } from '../membership/router-table.js'
import type { FleetStore } from '../model/fleet-store.js'

/** Longest time for one call. */
const CALL_TIMEOUT_MS = 2_000
/** Pause after a call that failed. */
const RETRY_MS = 1_000
/** Announcements of routers that ended long ago stay in the store; nothing is heard of those, so they are dropped. */
const ANNOUNCED_AGO_MS = 0

/**
 * Announces this router in the store, and learns which others announced themselves there.
 * @param store of the platform
 * @param routers takes the others
 * @param log takes a line when the store refuses
 * @param signal ends the tries
 */
export async function announceRouter (store: FleetStore, routers: RouterTable, log: EventLog, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    try {
      const limit = AbortSignal.any([signal, AbortSignal.timeout(CALL_TIMEOUT_MS)])
      await store.announce(routers.self, limit)
      const page = await store.routers.read(undefined, 0, limit)
      for (const change of page.changes) if (change.value !== undefined) routers.recordContact(change.value, ANNOUNCED_AGO_MS)
      return
    } catch (error) {
      log.info('announcement-failed', { problem: (error as Error).message })
      await pause(RETRY_MS, signal)
    }
  }
}
