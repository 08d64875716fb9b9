import type { LogService } from '@mimosarock/coordination/log-service.js'
import type { ReadOptions } from '@mimosarock/coordination/read-options.js'
import type { ReadResult } from '@mimosarock/coordination/read-result.js'
import type { PauseGate } from './pause-gate.js'

/** A log service whose calls are neither sent nor answered while a gate is closed. */
export class GatedLogService implements LogService {
  private readonly _logService: LogService
  private readonly _gate: PauseGate

  /**
   * @param logService gets the calls
   * @param gate holds calls and answers
   */
  constructor (logService: LogService, gate: PauseGate) {
    this._logService = logService
    this._gate = gate
  }

  /**
   * Appends one record.
   * @param stream name of the stream
   * @param data the encoded record
   * @param signal ends the call
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
   * Reads records.
   * @param stream name of the stream
   * @param fromOffset first offset wanted
   * @param options bounds on the read
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
