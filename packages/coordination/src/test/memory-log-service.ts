import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { LogService } from '../log-service.js'
import type { ReadOptions } from '../read-options.js'
import type { ReadResult } from '../read-result.js'
import type { StoredRecord } from '../stored-record.js'

/** In-memory log service with fault injection. */
export class MemoryLogService implements LogService {
  /** Number of next appends that take effect but whose responses are lost. */
  lostResponses = 0
  /** Whether appends fail without taking effect. */
  appendsDown = false
  /** Whether reads fail. */
  readsDown = false
  /** Whether appends wait for `releaseAppends` before they take effect. */
  holdAppends = false
  appends = 0
  private readonly _streams = new Map<string, StoredRecord[]>()
  private readonly _oldest = new Map<string, number>()
  private readonly _heldAppends: Array<() => void> = []
  private _arrival = new AbortController()

  async append (stream: string, data: Uint8Array, signal?: AbortSignal): Promise<number> {
    this.appends += 1
    if (this.appendsDown) throw unavailable()
    if (this.holdAppends) return await this._holdAppend(stream, data, signal)
    const offset = this.write(stream, data)
    if (this.lostResponses > 0) {
      this.lostResponses -= 1
      throw unavailable()
    }
    return offset
  }

  /** Writes a record immediately, regardless of injected faults. */
  write (stream: string, data: Uint8Array): number {
    const records = this._streams.get(stream) ?? []
    this._streams.set(stream, records)
    const offset = (records.at(-1)?.offset ?? 0) + 1
    records.push({ offset, data })
    const arrival = this._arrival
    this._arrival = new AbortController()
    arrival.abort()
    return offset
  }

  /** Applies the held appends, even if their callers have already timed out. */
  releaseAppends (): void {
    this.holdAppends = false
    for (const release of this._heldAppends.splice(0)) release()
  }

  /** Expires all records before an offset. */
  expireBefore (stream: string, offset: number): void {
    this._oldest.set(stream, offset)
  }

  records (stream: string): readonly StoredRecord[] {
    return this._streams.get(stream) ?? []
  }

  async read (stream: string, fromOffset: number, options: ReadOptions = {}): Promise<ReadResult> {
    if (this.readsDown) throw unavailable()
    if ((options.waitMs ?? 0) > 0 && this._recordsFrom(stream, fromOffset).length === 0) await this._waitForArrival(options)
    if (this.readsDown) throw unavailable()
    const records = this._recordsFrom(stream, fromOffset).slice(0, options.limit ?? 500)
    const nextOffset = (this.records(stream).at(-1)?.offset ?? 0) + 1
    return { records, oldestOffset: Math.min(this._oldest.get(stream) ?? 1, nextOffset), nextOffset }
  }

  private _recordsFrom (stream: string, offset: number): StoredRecord[] {
    const from = Math.max(offset, this._oldest.get(stream) ?? 1)
    return this.records(stream).filter((record) => record.offset >= from)
  }

  private async _holdAppend (stream: string, data: Uint8Array, signal?: AbortSignal): Promise<number> {
    return await new Promise((resolve, reject) => {
      signal?.addEventListener('abort', () => reject(unavailable()), { once: true })
      this._heldAppends.push(() => resolve(this.write(stream, data)))
    })
  }

  private async _waitForArrival (options: ReadOptions): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        resolve()
      }
      const timer = setTimeout(finish, options.waitMs)
      this._arrival.signal.addEventListener('abort', finish, { once: true })
      options.signal?.addEventListener('abort', finish, { once: true })
    })
  }
}

function unavailable (): MimosarockError {
  return new MimosarockError(ResultCode.LOG_UNAVAILABLE, 'the log service is down', { run: RunState.UNKNOWN })
}
