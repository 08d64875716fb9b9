import type { LogService } from '@mimosarock/coordination/log-service.js'
import type { ReadOptions } from '@mimosarock/coordination/read-options.js'
import type { ReadResult } from '@mimosarock/coordination/read-result.js'

/** Counts the appends to streams with a common name prefix, summed over all routers. */
export class AppendCounter {
  /** Number of appends sent so far, including failed ones. */
  appends = 0
  private readonly _prefix: string

  /**
   * @param prefix prefix of the names of the streams to count
   */
  constructor (prefix: string) {
    this._prefix = prefix
  }

  /**
   * Returns a log service that counts appends before it forwards them.
   * @param logService receives all calls
   */
  wrap (logService: LogService): LogService {
    return {
      append: async (stream: string, data: Uint8Array, signal?: AbortSignal): Promise<number> => {
        if (stream.startsWith(this._prefix)) this.appends += 1
        return await logService.append(stream, data, signal)
      },
      read: async (stream: string, fromOffset: number, options?: ReadOptions): Promise<ReadResult> => await logService.read(stream, fromOffset, options)
    }
  }
}
