/** Emits signals as events, as `process` does. */
interface SignalSource {
  on: (signal: NodeJS.Signals, listener: () => void) => unknown
}

/**
 * Receives signals from the start of the process on. Until handlers are set, a signal is kept for them: its default action would end the
 * process, also for a signal that only asks to read the settings again.
 */
export class SignalHandlers {
  private readonly _received: NodeJS.Signals[] = []
  private readonly _handlers = new Map<NodeJS.Signals, () => void>()

  /**
   * @param signals signals to receive
   * @param source emits the signals
   */
  constructor (signals: readonly NodeJS.Signals[], source: SignalSource = process) {
    for (const signal of signals) source.on(signal, () => this._receive(signal))
  }

  /**
   * Sets the handler of a signal, and calls it if the signal was received before.
   * @param signal one of the received signals
   * @param handler called for each signal, without arguments
   */
  handle (signal: NodeJS.Signals, handler: () => void): void {
    this._handlers.set(signal, handler)
    const index = this._received.indexOf(signal)
    if (index < 0) return
    this._received.splice(index, 1)
    handler()
  }

  private _receive (signal: NodeJS.Signals): void {
    const handler = this._handlers.get(signal)
    if (handler !== undefined) return handler()
    if (!this._received.includes(signal)) this._received.push(signal)
  }
}
