import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { build, decodeFromCompressedBase64 } from 'hdr-histogram-js'
import type { LoadOptions } from './load-options.js'
import type { LoadResult } from './load-result.js'
import type { LoadSummary } from './load-summary.js'

const HIGHEST_LATENCY_US = 60_000_000
const MICROSECONDS_PER_MILLISECOND = 1_000
const MILLISECONDS_PER_SECOND = 1_000

/** Worker threads that share the requests of each run, so that the load is not limited to what one thread can send. */
export class LoadWorkers {
  private readonly _workers: readonly Worker[]

  /**
   * @param count number of threads
   */
  constructor (count: number) {
    this._workers = Array.from({ length: count }, () => new Worker(new URL('./load-worker.js', import.meta.url)))
  }

  /**
   * Sends the requests of one load run, with concurrency and rate divided among the threads.
   * @param options requests of all threads together
   * @returns the combined result, once every thread has finished
   */
  async run (options: LoadOptions): Promise<LoadSummary> {
    const count = this._workers.length
    const results = await Promise.all(this._workers.map(async (worker, index) => {
      const ratePerSecond = options.ratePerSecond === undefined ? undefined : options.ratePerSecond / count
      const workerOptions: LoadOptions = { ...options, ratePerSecond, concurrency: Math.ceil(options.concurrency / count), seed: options.seed * count + index + 1 }
      worker.postMessage(workerOptions)
      const [result] = await once(worker, 'message') as [LoadResult]
      return result
    }))
    return summarize(results)
  }

  /** Terminates the threads. */
  async stop (): Promise<void> {
    await Promise.all(this._workers.map(async (worker) => await worker.terminate()))
  }
}

function summarize (results: readonly LoadResult[]): LoadSummary {
  const latencies = build({ highestTrackableValue: HIGHEST_LATENCY_US, numberOfSignificantValueDigits: 3 })
  for (const result of results) latencies.add(decodeFromCompressedBase64(result.latencies))
  const sum = (pick: (result: LoadResult) => number): number => results.reduce((total, result) => total + pick(result), 0)
  return {
    completed: sum((result) => result.completed),
    failed: sum((result) => result.failed),
    bytes: sum((result) => result.bytes),
    ratePerSecond: sum((result) => result.completed / result.durationMs * MILLISECONDS_PER_SECOND),
    p50Ms: latencies.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
    p95Ms: latencies.getValueAtPercentile(95) / MICROSECONDS_PER_MILLISECOND,
    p99Ms: latencies.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND
  }
}
