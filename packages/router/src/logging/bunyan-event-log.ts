import bunyan from 'bunyan'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { KeyValueStream } from './key-value-stream.js'

/** Event log that writes each event through bunyan as one line of key=value pairs. */
export class BunyanEventLog implements EventLog {
  private readonly _logger: bunyan

  /**
   * @param level minimum level of the events that are logged
   * @param output destination of the lines; defaults to standard output
   */
  constructor (level: 'info' | 'warn', output: { write (line: string): unknown } = process.stdout) {
    // Bunyan's types require a complete writable stream, but a raw stream only needs a write method.
    const stream = new KeyValueStream(output) as unknown as NodeJS.WritableStream
    this._logger = bunyan.createLogger({ name: 'mimosarock-router', streams: [{ type: 'raw', level, stream }] })
  }

  /**
   * Logs an event of normal operation.
   * @param event event name in kebab case
   * @param fields values by key; keys are whole words
   */
  info (event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this._logger.info({ ...fields }, event)
  }

  /**
   * Logs an event that needs the attention of an operator.
   * @param event event name in kebab case
   * @param fields values by key; keys are whole words
   */
  warn (event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this._logger.warn({ ...fields }, event)
  }
}
