import type { LogService } from '@mimosarock/coordination/log-service.js'
import type { ReadOptions } from '@mimosarock/coordination/read-options.js'
import type { ReadResult } from '@mimosarock/coordination/read-result.js'

/** Counts the appends to some streams, over all routers. */
export class AppendCounter {
  /** Appends sent so far. */
  appends = 0
  private readonly _prefix: string

  /**
   * @param prefix start of the names of the streams that count
   */
  constructor (prefix: string) {
    this._prefix = prefix
  }

  /**
   * A log service that counts.
   * @param logService gets the calls
   */
  around (logService: LogService): LogService {
    return {
      append: async (stream: string, data: Uint8Array, signal?: AbortSignal): Promise<number> => {
        if (stream.startsWith(this._prefix)) this.appends += 1
        return await logService.append(stream, data, signal)
      },
      read: async (stream: string, fromOffset: number, options?: ReadOptions): Promise<ReadResult> => await logService.read(stream, fromOffset, options)
    }
  }
}
