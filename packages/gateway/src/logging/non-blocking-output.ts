import { write } from 'node:fs'

/** Most bytes that wait to be written; lines beyond are dropped and counted. */
const MAXIMUM_WAITING_BYTES = 262_144
/** Lines are gathered for so long, so that one write takes many. */
const GATHER_MS = 100

/**
 * Writes lines to a file descriptor without ever blocking the process. When the reader is too slow, lines are dropped,
 * and a line says how many.
 */
export class NonBlockingOutput {
  private readonly _descriptor: number
  private _waiting: string[] = []
  private _waitingBytes = 0
  private _dropped = 0
  private _isWriting = false

  /**
   * @param descriptor an open file descriptor
   */
  constructor (descriptor: number) {
    this._descriptor = descriptor
  }

  /**
   * Takes a line.
   * @param line with its line feed
   */
  write (line: string): void {
    if (this._waitingBytes + line.length > MAXIMUM_WAITING_BYTES) {
      this._dropped += 1
      return
    }
    this._waiting.push(line)
    this._waitingBytes += line.length
    if (this._isWriting) return
    this._isWriting = true
    setTimeout(() => this._flush(), GATHER_MS).unref()
  }

  /** Writes what waits, before the process ends. */
  flush (): Promise<void> {
    return new Promise((resolve) => this._flush(resolve))
  }

  private _flush (done?: () => void): void {
    if (this._dropped > 0) this._waiting.push(`level=warn event=log-lines-dropped lines=${this._dropped}\n`)
    this._dropped = 0
    const bytes = Buffer.from(this._waiting.join(''))
    this._waiting = []
    this._waitingBytes = 0
    this._writeAll(bytes, done)
  }

  private _writeAll (bytes: Buffer, done?: () => void): void {
    if (bytes.length === 0) {
      this._isWriting = false
      if (this._waiting.length > 0) this.write('')
      done?.()
      return
    }
    write(this._descriptor, bytes, (error, written) => {
      // Nobody is left to tell when standard output fails; the lines are lost.
      this._writeAll(error === null ? bytes.subarray(written) : Buffer.alloc(0), done)
    })
  }
}
