import type { EventLog } from './event-log.js'

/** Drops every event; for embedders that do not log and for tests. */
export class SilentEventLog implements EventLog {
  /** Drops the event. */
  info (): void {}

  /** Drops the event. */
  warn (): void {}
}
