import bunyan from 'bunyan'
import { formatEvent } from './format-event.js'

/** Record that bunyan passes to a raw stream. */
type BunyanRecord = Readonly<Record<string, unknown>> & { readonly time: Date, readonly level: number, readonly msg: string }

/** A raw bunyan stream that writes each record as one line of key=value pairs. */
export class KeyValueStream {
  private readonly _output: { write (line: string): unknown }

  /**
   * @param output destination of the lines
   */
  constructor (output: { write (line: string): unknown }) {
    this._output = output
  }

  /**
   * Writes a record as one line.
   * @param record record that bunyan passes to raw streams
   */
  write (record: BunyanRecord): void {
    const { time, level, msg, name, hostname, pid, v, ...fields } = record
    this._output.write(formatEvent({
      time: time.toISOString(),
      level: bunyan.nameFromLevel[level] ?? level,
      event: msg,
      ...fields
    }))
  }
}
