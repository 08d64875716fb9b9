import type { EventEmitter } from 'node:events'
import type { BaseContext } from 'clipanion'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { RouterSettings } from '../settings/router-settings.js'
import type { StoppableRouter } from '../wiring/stoppable-router.js'

/** What the router's command line is run with. */
export interface RouterContext extends BaseContext {
  /** Emits SIGTERM and SIGINT. */
  readonly signals: EventEmitter
  /**
   * Makes a router that is not started yet.
   * @param settings the validated settings
   * @param eventLog takes the router's events
   */
  createRouter (settings: RouterSettings, eventLog: EventLog): StoppableRouter | Promise<StoppableRouter>
}
