import { gzipSync } from 'node:zlib'
import { pause } from '@mimosarock/gateway/membership/pause.js'
import type { MessageReceiver } from './message-receiver.js'

const LATENCY_MS = 4
const MS_PER_SECOND = 1_000
/** Messages are sent in parts of this length, between which those of other messages are sent on the same link. */
const PART_BYTES = 16_384
/** Messages between routers are compressed from this length on, those of the store never. */
const COMPRESSED_BYTES = 4_096
const STORE = 'store'

/** Links of limited rate of a fleet, one for each member and direction, which messages share. */
export class FleetLinks {
  private readonly _bytesPerMs: number
  private readonly _sendingFactors = new Map<string, number>()
  private readonly _usedUntil = new Map<string, number>()
  /** Lengths of compressed messages by their text, as many are sent again. */
  private readonly _lengths = new Map<string, number>()

  /**
   * @param bytesPerSecond rate that the traffic of callers leaves of each link in each direction
   */
  constructor (bytesPerSecond: number) {
    this._bytesPerMs = bytesPerSecond / MS_PER_SECOND
  }

  /**
   * Lets members send at a part of their rate.
   * @param names names of the members
   * @param factor part of the rate
   */
  slowSending (names: readonly string[], factor: number): void {
    for (const name of names) this._sendingFactors.set(name, factor)
  }

  /**
   * Sends a message. Resolves when its last byte has arrived.
   * @param from name of the sender
   * @param to name of the receiver
   * @param text the message
   * @param receiver told of the progress, and may end it
   */
  async send (from: string, to: string, text: string, receiver?: MessageReceiver): Promise<void> {
    const bytes = this._lengthOf(from, text)
    for (let sent = 0; sent < bytes; sent += PART_BYTES) {
      const part = Math.min(PART_BYTES, bytes - sent)
      const sentAt = from === STORE ? Date.now() : this._use(`${from} up`, part / (this._sendingFactors.get(from) ?? 1))
      const arrivedAt = this._use(`${to} down`, part)
      await pause(Math.max(sentAt, arrivedAt) - Date.now(), receiver?.signal)
      receiver?.signal.throwIfAborted()
      receiver?.recordProgress((sent + part) / bytes)
    }
    await pause(LATENCY_MS)
  }

  private _lengthOf (from: string, text: string): number {
    if (from === STORE || text.length < COMPRESSED_BYTES) return text.length
    const known = this._lengths.get(text)
    if (known !== undefined) return known
    const length = gzipSync(text, { level: 1 }).length
    this._lengths.set(text, length)
    return length
  }

  private _use (link: string, bytes: number): number {
    const end = Math.max(Date.now(), this._usedUntil.get(link) ?? -Infinity) + bytes / this._bytesPerMs
    this._usedUntil.set(link, end)
    return end
  }
}
