import type { StreamReplica } from '../stream-replica.js'
import type { FetchAnswer } from './fetch-answer.js'
import type { StateAnswer } from './state-answer.js'
import type { StreamSpreaderOptions } from './stream-spreader-options.js'

const CALL_TIMEOUT_MS = 2_000
const BUSY_RETRY_MS = 250
const MAXIMUM_BUSY_ANSWERS = 40

interface AheadPeer {
  readonly address: string
  readonly offset: number
}

/** Learns one stream from peers that are ahead. */
export class StreamPull {
  private readonly _options: StreamSpreaderOptions
  private readonly _index: number
  private readonly _replica: StreamReplica
  private _ahead: AheadPeer | undefined
  private _wake = new AbortController()

  /**
   * @param options what the spreader works with
   * @param index place of the stream among the spread ones
   * @param replica the stream's replica
   */
  constructor (options: StreamSpreaderOptions, index: number, replica: StreamReplica) {
    this._options = options
    this._index = index
    this._replica = replica
  }

  /**
   * Notes how far a peer is.
   * @param address of its json-rpc-2.0 server
   * @param offset its applied offset
   */
  noteOffset (address: string, offset: number): void {
    if (this._replica.started && offset <= this._replica.appliedOffset) return
    if (this._ahead !== undefined && this._ahead.offset >= offset) return
    this._ahead = { address, offset }
    this._wake.abort()
  }

  /**
   * Fetches what is missing until the signal aborts.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._waitForPeer(signal)
      // Most routers read the same record from the log service a moment later.
      await this._options.clock.sleep(this._options.graceMs, signal)
      while (!signal.aborted && this._isBehind()) await this._pullOnce(signal)
      this._ahead = undefined
    }
  }

  private _isBehind (): boolean {
    if (this._ahead === undefined) return false
    return !this._replica.started || this._ahead.offset > this._replica.appliedOffset
  }

  private async _waitForPeer (signal: AbortSignal): Promise<void> {
    this._wake = new AbortController()
    const wake = AbortSignal.any([signal, this._wake.signal])
    if (this._ahead !== undefined || wake.aborted) return
    await new Promise((resolve) => wake.addEventListener('abort', resolve, { once: true }))
  }

  private async _pullOnce (signal: AbortSignal): Promise<void> {
    const peer = this._ahead
    if (peer === undefined) return
    try {
      const moved = this._replica.started
        ? await this._fetchRecords(peer, signal)
        : await this._fetchState(peer, signal)
      if (!moved) this._ahead = undefined
    } catch (error) {
      this._options.eventLog.warn('peer-fetch-failed', { stream: this._replica.stream, peer: peer.address, error: String(error) })
      this._ahead = undefined
    }
  }

  private async _fetchRecords (peer: AheadPeer, signal: AbortSignal): Promise<boolean> {
    const answer = await this._call<FetchAnswer>(peer, 'log.fetch', [this._replica.appliedOffset], signal)
    if (answer?.expired === true) return await this._fetchState(peer, signal)
    const records = (answer?.records ?? []).map(([offset, previousOffset, data]) =>
      ({ offset, previousOffset, data: Buffer.from(data, 'base64') }))
    const applied = this._replica.offer(records)
    if (applied > 0) this._options.eventLog.info('records-fetched', { stream: this._replica.stream, peer: peer.address, records: applied })
    return applied > 0
  }

  private async _fetchState (peer: AheadPeer, signal: AbortSignal): Promise<boolean> {
    const parts: Buffer[] = []
    let covers = 0
    let wanted = 1
    while (parts.length < wanted) {
      const answer = await this._call<StateAnswer>(peer, 'log.state', [parts.length, covers], signal)
      if (answer?.data === undefined) return false
      // The peer made a newer state in between, so its parts start over.
      if (parts.length > 0 && answer.covers !== covers) return true
      covers = answer.covers ?? 0
      wanted = answer.parts ?? 1
      parts.push(Buffer.from(answer.data, 'base64'))
    }
    return this._replica.adopt({ coversOffset: covers, state: Buffer.concat(parts) })
  }

  /** Calls a method and comes back later while the peer's budget is spent. */
  private async _call<Answer extends { readonly busy?: boolean }> (peer: AheadPeer, method: string, params: readonly number[], signal: AbortSignal): Promise<Answer | undefined> {
    const { messenger, clock } = this._options
    for (let tries = 0; tries < MAXIMUM_BUSY_ANSWERS && !signal.aborted; tries += 1) {
      const answer = await messenger.call(peer.address, method, [this._index, ...params], CALL_TIMEOUT_MS) as Answer
      if (answer.busy !== true) return answer
      await clock.sleep(BUSY_RETRY_MS, signal)
    }
    return undefined
  }
}
