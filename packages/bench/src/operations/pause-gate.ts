/** Gate that blocks the tasks of a simulated process while it is closed. */
export class PauseGate {
  private _opened: Promise<void> = Promise.resolve()
  private _resolveOpened: (() => void) | undefined

  /** Whether the gate is closed. */
  get isClosed (): boolean {
    return this._resolveOpened !== undefined
  }

  /** Closes the gate; has no effect if it is already closed. */
  close (): void {
    if (this.isClosed) return
    this._opened = new Promise((resolve) => { this._resolveOpened = resolve })
  }

  /** Opens the gate and resumes all blocked tasks. */
  open (): void {
    this._resolveOpened?.()
    this._resolveOpened = undefined
  }

  /** Resolves immediately if the gate is open, otherwise when it opens. */
  async pass (): Promise<void> {
    while (this.isClosed) await this._opened
  }
}
