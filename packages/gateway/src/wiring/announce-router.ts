import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { pause } from '../membership/pause.js'
import type { RouterTable } from '../membership/router-table.js'
import type { FleetStore } from '../model/fleet-store.js'

/** Timeout of one announcement, its two calls together. */
const CALL_TIMEOUT_MS = 2_000
/** Delay after a failed attempt. */
const RETRY_DELAY_MS = 1_000
/**
 * Age assumed for announcements read from the store, which do not state their time. Announcements of routers that
 * stopped long ago stay there; those routers expire from the router table because no peer reports them.
 */
const ANNOUNCEMENT_AGE_MS = 0

/**
 * Announces this router in the store and reads the announcements of the other routers. Retries until both succeed.
 * @param store store of the platform
 * @param routers router table, which provides this router's entry and receives the other routers
 * @param log logs each failed attempt
 * @param signal stops the retries
 */
export async function announceRouter (store: FleetStore, routers: RouterTable, log: EventLog, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    try {
      const callSignal = AbortSignal.any([signal, AbortSignal.timeout(CALL_TIMEOUT_MS)])
      await store.announce(routers.self, callSignal)
      const page = await store.routers.read(undefined, 0, callSignal)
      for (const change of page.changes) if (change.value !== undefined) routers.recordContact(change.value, ANNOUNCEMENT_AGE_MS)
      return
    } catch (error) {
      log.info('announcement-failed', { problem: (error as Error).message })
      await pause(RETRY_DELAY_MS, signal)
    }
  }
}
