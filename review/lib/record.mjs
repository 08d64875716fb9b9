import { writeFileSync } from 'node:fs'

/** Lines of what was sent, answered and run, with the milliseconds since the start; written at the end. */
export class Record {
  _lines = []
  _startedAt = performance.now()

  /** Milliseconds since the start. */
  get now () {
    return performance.now() - this._startedAt
  }

  add (text) {
    this._lines.push(`${this.now.toFixed(1).padStart(9)} ${text}`)
  }

  /** Writes the lines to a file. */
  write (path) {
    writeFileSync(path, `${this._lines.join('\n')}\n`)
  }
}
