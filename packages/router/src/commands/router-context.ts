import type { EventEmitter } from 'node:events'
import type { BaseContext } from 'clipanion'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { RouterSettings } from '../settings/router-settings.js'
import type { StoppableRouter } from '../wiring/stoppable-router.js'

/** Environment in which the commands of `mimosarock-router` run. */
export interface RouterContext extends BaseContext {
  /** Emits the signals SIGTERM and SIGINT. */
  readonly signals: EventEmitter
  /**
   * Creates a router without starting it.
   * @param settings the validated settings
   * @param eventLog log for the router's events
   */
  createRouter (settings: RouterSettings, eventLog: EventLog): StoppableRouter | Promise<StoppableRouter>
}
