/** Holds whatever passes through it while it is closed. */
export class PauseGate {
  private _opened: Promise<void> = Promise.resolve()
  private _open: (() => void) | undefined

  /** Whether it holds what passes. */
  get closed (): boolean {
    return this._open !== undefined
  }

  /** Holds from now on. */
  close (): void {
    if (this.closed) return
    this._opened = new Promise((resolve) => { this._open = resolve })
  }

  /** Lets everything go on. */
  open (): void {
    this._open?.()
    this._open = undefined
  }

  /** Resolves at once while it is open, else when it opens. */
  async pass (): Promise<void> {
    while (this.closed) await this._opened
  }
}
