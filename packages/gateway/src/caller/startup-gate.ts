/** Longest time that a request waits for a starting router; it learns within some round trips or needs much longer. */
const LONGEST_WAIT_MS = 400

/** Holds requests that arrive before a starting router knows configuration and endpoints. */
export class StartupGate {
  private readonly _opened: Promise<void>
  private _open: () => void = () => undefined
  private _isOpen = false

  constructor () {
    this._opened = new Promise((resolve) => { this._open = resolve })
  }

  /** Whether the router knows what it needs. */
  get isOpen (): boolean {
    return this._isOpen
  }

  /** Lets all requests through from now on. */
  open (): void {
    this._isOpen = true
    this._open()
  }

  /** Resolves when the gate is open or the longest wait is over. */
  async pass (): Promise<void> {
    if (this._isOpen) return
    let timer: NodeJS.Timeout | undefined
    const waited = new Promise<void>((resolve) => { timer = setTimeout(resolve, LONGEST_WAIT_MS) })
    await Promise.race([this._opened, waited])
    clearTimeout(timer)
  }
}
