/** Prints the observations of the demo, one per line, and counts failed checks. */
export class DemoReport {
  private readonly _write: (line: string) => void
  private _failedCount = 0

  /**
   * @param write called with each line, without a line feed
   */
  constructor (write: (line: string) => void) {
    this._write = write
  }

  /** Number of failed checks. */
  get failedCount (): number {
    return this._failedCount
  }

  /**
   * Prints an observation.
   * @param text line without indentation
   */
  info (text: string): void {
    this._write(`  ${text}`)
  }

  /**
   * Prints the heading of a section.
   * @param title text of the heading
   */
  section (title: string): void {
    this._write(`\n${title}`)
  }

  /**
   * Prints the result of a check.
   * @param expectation statement that must be true
   * @param isMet whether it is true; a check that fails is counted
   */
  check (expectation: string, isMet: boolean): void {
    if (!isMet) this._failedCount += 1
    this._write(`  ${isMet ? 'held  ' : 'BROKEN'}  ${expectation}`)
  }
}
