/** Joins the lines that are written in one iteration of the event loop into one write. */
export class LineWriter {
  private readonly _write: (text: string) => void
  private readonly _defer: (flush: () => void) => void
  private _pending = ''

  /**
   * @param write writes text to the connection
   * @param defer calls a function at the end of the current iteration of the event loop
   */
  constructor (write: (text: string) => void, defer: (flush: () => void) => void) {
    this._write = write
    this._defer = defer
  }

  /**
   * Writes a message as one line.
   * @param message value to be written as JSON
   */
  send (message: unknown): void {
    const isFirst = this._pending === ''
    this._pending += `${JSON.stringify(message)}\n`
    if (isFirst) this._defer(() => this.flush())
  }

  /** Writes what is pending at once. */
  flush (): void {
    const text = this._pending
    this._pending = ''
    if (text !== '') this._write(text)
  }
}
