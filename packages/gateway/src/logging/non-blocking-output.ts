import { write } from 'node:fs'

/** Upper bound of the buffer, in bytes; further lines are dropped and counted. */
const MAXIMUM_PENDING_BYTES = 262_144
/** Delay before buffered lines are written; batches many lines into one write. */
const BATCH_DELAY_MS = 100

/**
 * Writes lines to a file descriptor without blocking the event loop. Drops lines if the reader is too slow, and logs
 * how many were dropped.
 */
export class NonBlockingOutput {
  private readonly _descriptor: number
  private _pending: string[] = []
  private _pendingBytes = 0
  private _droppedLines = 0
  private _isWriting = false

  /**
   * @param descriptor open file descriptor
   */
  constructor (descriptor: number) {
    this._descriptor = descriptor
  }

  /**
   * Buffers a line for the next write, or drops it if the buffer is full.
   * @param line line with its line feed
   */
  write (line: string): void {
    const bytes = Buffer.byteLength(line)
    if (this._pendingBytes + bytes > MAXIMUM_PENDING_BYTES) {
      this._droppedLines += 1
      return
    }
    this._pending.push(line)
    this._pendingBytes += bytes
    if (this._isWriting) return
    this._isWriting = true
    setTimeout(() => this._flush(), BATCH_DELAY_MS).unref()
  }

  /** Writes all buffered lines; to be called before the process exits. Resolves when they are written. */
  flush (): Promise<void> {
    return new Promise((resolve) => this._flush(resolve))
  }

  private _flush (done?: () => void): void {
    if (this._droppedLines > 0) this._pending.push(`level=warn event=log-lines-dropped lines=${this._droppedLines}\n`)
    this._droppedLines = 0
    const bytes = Buffer.from(this._pending.join(''))
    this._pending = []
    this._pendingBytes = 0
    this._writeAll(bytes, done)
  }

  private _writeAll (bytes: Buffer, done?: () => void): void {
    if (bytes.length === 0) {
      this._isWriting = false
      // Schedules the lines that were buffered during the write.
      if (this._pending.length > 0) this.write('')
      done?.()
      return
    }
    write(this._descriptor, bytes, (error, written) => {
      // A failed write can't be logged because the log output itself failed; the rest of the batch is dropped.
      this._writeAll(error === null ? bytes.subarray(written) : Buffer.alloc(0), done)
    })
  }
}
