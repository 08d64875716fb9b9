import type { EventLog } from './event-log.js'

/** Event log that discards every event; for embedders that do not log and for tests. */
export class SilentEventLog implements EventLog {
  /** Discards the event. */
  info (): void {}

  /** Discards the event. */
  warn (): void {}
}
