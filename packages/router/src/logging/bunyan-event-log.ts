import bunyan from 'bunyan'
import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { KeyValueStream } from './key-value-stream.js'

/** Logs events through bunyan, one line of key=value pairs each. */
export class BunyanEventLog implements EventLog {
  private readonly _logger: bunyan

  /**
   * @param level lowest level that is logged
   * @param output takes the lines; standard output if left out
   */
  constructor (level: 'info' | 'warn', output: { write (line: string): unknown } = process.stdout) {
    // Bunyan's types know only whole streams; raw ones need a write method alone.
    const stream = new KeyValueStream(output) as unknown as NodeJS.WritableStream
    this._logger = bunyan.createLogger({ name: 'mimosarock-router', streams: [{ type: 'raw', level, stream }] })
  }

  /**
   * Logs an event of normal operation.
   * @param event name, in kebab case
   * @param fields values by whole-word keys
   */
  info (event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this._logger.info({ ...fields }, event)
  }

  /**
   * Logs an event that an operator should look at.
   * @param event name, in kebab case
   * @param fields values by whole-word keys
   */
  warn (event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this._logger.warn({ ...fields }, event)
  }
}
