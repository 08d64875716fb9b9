import type { LogService } from '@mimosarock/coordination/log-service.js'
import type { ReadOptions } from '@mimosarock/coordination/read-options.js'
import type { ReadResult } from '@mimosarock/coordination/read-result.js'
import type { PauseGate } from './pause-gate.js'

/** Log service that neither sends calls nor returns their results while a gate is closed. */
export class GatedLogService implements LogService {
  private readonly _logService: LogService
  private readonly _gate: PauseGate

  /**
   * @param logService receives the calls
   * @param gate blocks calls and results while it is closed
   */
  constructor (logService: LogService, gate: PauseGate) {
    this._logService = logService
    this._gate = gate
  }

  /**
   * Appends one record.
   * @param stream name of the stream
   * @param data the encoded record
   * @param signal aborts the append, but not the wait for the gate
   */
  async append (stream: string, data: Uint8Array, signal?: AbortSignal): Promise<number> {
    await this._gate.pass()
    try {
      return await this._logService.append(stream, data, signal)
    } finally {
      await this._gate.pass()
    }
  }

  /**
   * Reads records from a stream.
   * @param stream name of the stream
   * @param fromOffset offset of the first record to read
   * @param options limits of the read
   */
  async read (stream: string, fromOffset: number, options?: ReadOptions): Promise<ReadResult> {
    await this._gate.pass()
    try {
      return await this._logService.read(stream, fromOffset, options)
    } finally {
      await this._gate.pass()
    }
  }
}
