import { pause } from '@mimosarock/gateway/membership/pause.js'

const LATENCY_MS = 4
const CALL_TIMEOUT_MS = 450
const MS_PER_SECOND = 1_000

/** Network in which each member has a link of limited rate in each direction, on which messages queue. */
export class SimulatedNetwork {
  private readonly _bytesPerMs: number
  private readonly _cutOff = new Set<string>()
  private _group: ReadonlySet<string> = new Set()
  private _isLost: () => boolean = () => false
  private _delayMs: () => number = () => 0
  /** Times until which the links are in use, by member and direction. */
  private readonly _usedUntil = new Map<string, number>()

  /**
   * @param bytesPerSecond rate of each link in each direction
   */
  constructor (bytesPerSecond: number) {
    this._bytesPerMs = bytesPerSecond / MS_PER_SECOND
  }

  /**
   * Cuts members off from all others and from the store.
   * @param names names of the members
   */
  cutOff (names: readonly string[]): void {
    for (const name of names) this._cutOff.add(name)
  }

  /** Loses messages, and delays them in addition to the latency. */
  impair (isLost: () => boolean, delayMs: () => number): void {
    this._isLost = isLost
    this._delayMs = delayMs
  }

  /**
   * Returns whether a member is cut off.
   * @param name name of the member
   */
  isCutOff (name: string): boolean {
    return this._cutOff.has(name)
  }

  /** Cuts a group of members off from all others. Both groups still reach the store. */
  split (names: readonly string[]): void {
    this._group = new Set(names)
  }

  /** Ends all cuts. */
  heal (): void {
    this._cutOff.clear()
    this._group = new Set()
  }

  /**
   * Sends a message. Resolves when its last byte has arrived.
   * @param from name of the sender
   * @param to name of the receiver
   * @param bytes length of the message
   */
  async send (from: string, to: string, bytes: number): Promise<void> {
    if (this._cutOff.has(from) || this._cutOff.has(to) || this._isCut(from, to) || this._isLost()) await this.loseMessage()
    const sentAt = from === 'store' ? Date.now() : this._use(`${from} up`, Date.now(), bytes)
    const arrivedAt = this._use(`${to} down`, sentAt - bytes / this._bytesPerMs + LATENCY_MS, bytes)
    await pause(Math.max(sentAt + LATENCY_MS, arrivedAt) + this._delayMs() - Date.now())
  }

  private _isCut (from: string, to: string): boolean {
    return from !== 'store' && this._group.has(from) !== this._group.has(to)
  }

  /** Rejects after the time for which a sender waits for an answer. */
  async loseMessage (): Promise<never> {
    await pause(CALL_TIMEOUT_MS)
    throw new Error('no answer')
  }

  private _use (link: string, from: number, bytes: number): number {
    const end = Math.max(from, this._usedUntil.get(link) ?? -Infinity) + bytes / this._bytesPerMs
    this._usedUntil.set(link, end)
    return end
  }
}
