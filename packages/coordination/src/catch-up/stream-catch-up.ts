import { ByteBuffer } from '../http/byte-buffer.js'
import type { StreamReplica } from '../stream-replica.js'
import type { FetchResponse } from './fetch-response.js'
import type { StateResponse } from './state-response.js'
import type { PeerCatchUpOptions } from './peer-catch-up-options.js'

const CALL_TIMEOUT_MS = 2_000
const BUSY_RETRY_MS = 250
const MAXIMUM_BUSY_RESPONSES = 40

interface AheadPeer {
  readonly address: string
  readonly offset: number
}

/** Fetches the missing records of one stream, or its whole state, from a peer that is ahead. */
export class StreamCatchUp {
  private readonly _options: PeerCatchUpOptions
  private readonly _index: number
  private readonly _replica: StreamReplica
  private _aheadPeer: AheadPeer | undefined
  private _wake = new AbortController()

  /**
   * @param options messenger, clock, event log and grace period
   * @param index position of the stream in `options.streams`
   * @param replica the replica to which fetched records and state are applied
   */
  constructor (options: PeerCatchUpOptions, index: number, replica: StreamReplica) {
    this._options = options
    this._index = index
    this._replica = replica
  }

  /**
   * Records the offset that a peer reports, and starts a fetch if the peer is ahead.
   * @param address IP address and port of the peer's JSON-RPC 2.0 server
   * @param offset the peer's applied offset
   */
  recordOffset (address: string, offset: number): void {
    if (this._replica.started && offset <= this._replica.appliedOffset) return
    if (this._aheadPeer !== undefined && this._aheadPeer.offset >= offset) return
    this._aheadPeer = { address, offset }
    this._wake.abort()
  }

  /**
   * Fetches missing records whenever a peer is ahead, until the signal aborts.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._waitForPeer(signal)
      // Waits before fetching, since the record usually arrives from the log service shortly after.
      await this._options.clock.sleep(this._options.graceMs, signal)
      while (!signal.aborted && this._isBehind()) await this._fetchOnce(signal)
      this._aheadPeer = undefined
    }
  }

  private _isBehind (): boolean {
    if (this._aheadPeer === undefined) return false
    return !this._replica.started || this._aheadPeer.offset > this._replica.appliedOffset
  }

  private async _waitForPeer (signal: AbortSignal): Promise<void> {
    this._wake = new AbortController()
    const wake = AbortSignal.any([signal, this._wake.signal])
    if (this._aheadPeer !== undefined || wake.aborted) return
    await new Promise((resolve) => wake.addEventListener('abort', resolve, { once: true }))
  }

  private async _fetchOnce (signal: AbortSignal): Promise<void> {
    const peer = this._aheadPeer
    if (peer === undefined) return
    try {
      const madeProgress = this._replica.started
        ? await this._fetchRecords(peer, signal)
        : await this._fetchState(peer, signal)
      if (!madeProgress) this._aheadPeer = undefined
    } catch (error) {
      this._options.eventLog.warn('peer-fetch-failed', { stream: this._replica.stream, peer: peer.address, error: String(error) })
      this._aheadPeer = undefined
    }
  }

  private async _fetchRecords (peer: AheadPeer, signal: AbortSignal): Promise<boolean> {
    const response = await this._call<FetchResponse>(peer, 'log.fetch', [this._replica.appliedOffset], signal)
    if (response?.expired === true) return await this._fetchState(peer, signal)
    const records = (response?.records ?? []).map(([offset, previousOffset, data]) =>
      ({ offset, previousOffset, data: Buffer.from(data, 'base64') }))
    const applied = this._replica.offer(records)
    if (applied > 0) this._options.eventLog.info('records-fetched', { stream: this._replica.stream, peer: peer.address, records: applied })
    return applied > 0
  }

  private async _fetchState (peer: AheadPeer, signal: AbortSignal): Promise<boolean> {
    const state = new ByteBuffer()
    let partIndex = 0
    let covers = 0
    let partCount = 1
    while (partIndex < partCount) {
      const response = await this._call<StateResponse>(peer, 'log.state', [partIndex, covers], signal)
      if (response?.data === undefined) return false
      // The peer has encoded a newer state meanwhile; its parts must be fetched from the start.
      if (partIndex > 0 && response.covers !== covers) return true
      covers = response.covers ?? 0
      partCount = response.parts ?? 1
      state.append(Buffer.from(response.data, 'base64'))
      partIndex += 1
    }
    return this._replica.adopt({ coversOffset: covers, state: state.take() })
  }

  /** Calls a method of a peer and retries while the peer is busy; returns undefined after `MAXIMUM_BUSY_RESPONSES`. */
  private async _call<Result extends { readonly busy?: boolean }> (peer: AheadPeer, method: string, params: readonly number[], signal: AbortSignal): Promise<Result | undefined> {
    const { messenger, clock } = this._options
    for (let attempts = 0; attempts < MAXIMUM_BUSY_RESPONSES && !signal.aborted; attempts += 1) {
      const response = await messenger.call(peer.address, method, [this._index, ...params], CALL_TIMEOUT_MS) as Result
      if (response.busy !== true) return response
      await clock.sleep(BUSY_RETRY_MS, signal)
    }
    return undefined
  }
}
