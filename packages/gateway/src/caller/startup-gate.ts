/** Maximum delay of a request; a starting router loads its configuration and endpoints within a few round trips, or takes much longer. */
const MAXIMUM_WAIT_MS = 400

/** Delays requests that arrive before a starting router knows the configuration and the endpoints. */
export class StartupGate {
  private readonly _opened: Promise<void>
  private _open: () => void = () => undefined
  private _isOpen = false

  constructor () {
    this._opened = new Promise((resolve) => { this._open = resolve })
  }

  /** Whether the router knows the configuration and the endpoints. */
  get isOpen (): boolean {
    return this._isOpen
  }

  /** Releases all waiting requests and lets later ones pass without delay. */
  open (): void {
    this._isOpen = true
    this._open()
  }

  /** Resolves when the gate is open, or after the maximum delay. */
  async waitUntilOpen (): Promise<void> {
    if (this._isOpen) return
    let timer: NodeJS.Timeout | undefined
    const waited = new Promise<void>((resolve) => { timer = setTimeout(resolve, MAXIMUM_WAIT_MS) })
    await Promise.race([this._opened, waited])
    clearTimeout(timer)
  }
}
