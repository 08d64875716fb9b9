/** Prints what the demo saw, one line each, and remembers whether every promise held. */
export class DemoReport {
  private readonly _write: (line: string) => void
  private _broken = 0

  /**
   * @param write takes a line
   */
  constructor (write: (line: string) => void) {
    this._write = write
  }

  /** Promises that did not hold. */
  get brokenCount (): number {
    return this._broken
  }

  /**
   * Tells something.
   * @param text the line
   */
  tell (text: string): void {
    this._write(`  ${text}`)
  }

  /**
   * Starts a part of the demo.
   * @param title what is shown
   */
  section (title: string): void {
    this._write(`\n${title}`)
  }

  /**
   * Tells whether a promise held.
   * @param promise what must hold
   * @param held whether it did
   */
  check (promise: string, held: boolean): void {
    if (!held) this._broken += 1
    this._write(`  ${held ? 'held  ' : 'BROKEN'}  ${promise}`)
  }
}
