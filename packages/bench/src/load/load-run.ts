import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js'
import { Pool } from 'undici'
import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { LoadOptions } from './load-options.js'
import type { LoadResult } from './load-result.js'

const HIGHEST_LATENCY_US = 60_000_000
const MILLISECONDS_PER_SECOND = 1_000
const OK = 200

/** Sends the requests of one load run and measures the latency of each from the time at which it was due. */
export class LoadRun {
  private readonly _options: LoadOptions
  private readonly _pool: Pool
  private readonly _random: SeededRandom
  private readonly _latencies = build({ highestTrackableValue: HIGHEST_LATENCY_US, numberOfSignificantValueDigits: 3 })
  private _completed = 0
  private _failed = 0
  private _bytes = 0

  /**
   * @param options requests to send
   */
  constructor (options: LoadOptions) {
    this._options = options
    this._pool = new Pool(`http://${options.address}`, { connections: options.concurrency, pipelining: 1 })
    this._random = new SeededRandom(options.seed)
  }

  /** Sends requests for the duration of the run and waits for the last responses. */
  async run (): Promise<LoadResult> {
    const startedAt = performance.now()
    if (this._options.ratePerSecond === undefined) await this._runClosedLoop(startedAt)
    else await this._runOpenLoop(startedAt, this._options.ratePerSecond)
    const durationMs = performance.now() - startedAt
    await this._pool.destroy()
    return {
      completed: this._completed,
      failed: this._failed,
      durationMs,
      bytes: this._bytes,
      latencies: encodeIntoCompressedBase64(this._latencies)
    }
  }

  private async _runClosedLoop (startedAt: number): Promise<void> {
    const until = startedAt + this._options.durationMs
    await Promise.all(Array.from({ length: this._options.concurrency }, async () => {
      while (performance.now() < until) await this._send(performance.now())
    }))
  }

  /** Checks for due requests in every iteration of the event loop, because timers are coarser than the latencies. */
  private async _runOpenLoop (startedAt: number, ratePerSecond: number): Promise<void> {
    const until = startedAt + this._options.durationMs
    const meanGapMs = MILLISECONDS_PER_SECOND / ratePerSecond
    const requests = new Set<Promise<void>>()
    let dueAt = startedAt
    while (dueAt < until) {
      const now = performance.now()
      while (dueAt <= now && dueAt < until) {
        const request = this._send(dueAt)
        requests.add(request)
        request.finally(() => requests.delete(request))
        dueAt -= Math.log(1 - this._random.next()) * meanGapMs
      }
      await new Promise((resolve) => setImmediate(resolve))
    }
    await Promise.all(requests)
  }

  private async _send (dueAt: number): Promise<void> {
    const { path, headers, body, expectedEnd } = this._options
    try {
      const response = await this._pool.request({ method: 'POST', path, headers, body })
      const text = await response.body.text()
      if (response.statusCode !== OK || !text.endsWith(expectedEnd)) throw new Error(`status ${response.statusCode}`)
      this._bytes += text.length
      this._completed += 1
      this._latencies.recordValue(Math.max(Math.round((performance.now() - dueAt) * MILLISECONDS_PER_SECOND), 1))
    } catch {
      this._failed += 1
    }
  }
}
