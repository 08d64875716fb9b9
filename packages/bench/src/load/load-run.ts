import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js'
import { Pool } from 'undici'
import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { LoadOrder } from './load-order.js'
import type { LoadResult } from './load-result.js'

const HIGHEST_LATENCY_US = 60_000_000
const MILLISECONDS_PER_SECOND = 1_000
const OK = 200

/** Sends one order's requests and measures each from the time at which it was due. */
export class LoadRun {
  private readonly _order: LoadOrder
  private readonly _pool: Pool
  private readonly _random: SeededRandom
  private readonly _latencies = build({ highestTrackableValue: HIGHEST_LATENCY_US, numberOfSignificantValueDigits: 3 })
  private _completed = 0
  private _failed = 0
  private _bytes = 0

  /**
   * @param order what to send
   */
  constructor (order: LoadOrder) {
    this._order = order
    this._pool = new Pool(`http://${order.address}`, { connections: order.concurrency, pipelining: 1 })
    this._random = new SeededRandom(order.seed)
  }

  /** Runs to the end of the order's time and waits for the last answers. */
  async run (): Promise<LoadResult> {
    const startedAt = performance.now()
    if (this._order.ratePerSecond === undefined) await this._runClosed(startedAt)
    else await this._runPaced(startedAt, this._order.ratePerSecond)
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

  private async _runClosed (startedAt: number): Promise<void> {
    const until = startedAt + this._order.durationMs
    await Promise.all(Array.from({ length: this._order.concurrency }, async () => {
      while (performance.now() < until) await this._send(performance.now())
    }))
  }

  /** Checks for due requests in every turn of the event loop, because timers are coarser than the latencies. */
  private async _runPaced (startedAt: number, ratePerSecond: number): Promise<void> {
    const until = startedAt + this._order.durationMs
    const meanGapMs = MILLISECONDS_PER_SECOND / ratePerSecond
    const calls = new Set<Promise<void>>()
    let dueAt = startedAt
    while (dueAt < until) {
      const now = performance.now()
      while (dueAt <= now && dueAt < until) {
        const call = this._send(dueAt)
        calls.add(call)
        call.finally(() => calls.delete(call))
        dueAt -= Math.log(1 - this._random.next()) * meanGapMs
      }
      await new Promise((resolve) => setImmediate(resolve))
    }
    await Promise.all(calls)
  }

  private async _send (dueAt: number): Promise<void> {
    const { path, headers, body, expectedEnd } = this._order
    try {
      const answer = await this._pool.request({ method: 'POST', path, headers, body })
      const text = await answer.body.text()
      if (answer.statusCode !== OK || !text.endsWith(expectedEnd)) throw new Error(`status ${answer.statusCode}`)
      this._bytes += text.length
      this._completed += 1
      this._latencies.recordValue(Math.max(Math.round((performance.now() - dueAt) * MILLISECONDS_PER_SECOND), 1))
    } catch {
      this._failed += 1
    }
  }
}
