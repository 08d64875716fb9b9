import { CacheEventPage } from '../contexts/cache-event-page.js'
import { CacheIndex } from '../contexts/cache-index.js'
import { EndpointProbeClient } from './endpoint-probe-client.js'
import type { EndpointWatchOptions } from './endpoint-watch-options.js'
import type { LoadReport } from '../admission/load-report.js'
import { readLoadReport } from '../admission/read-load-report.js'

const PROBE_TIMEOUT_MS = 500
/** Delay after the first failed probe, in milliseconds; after a timeout, the retry uses a new connection. */
const PROBE_RETRY_MS = 100
/** Number of consecutive failed probes after which the endpoint is considered failed. */
const FAILURE_THRESHOLD = 2
/** Long-poll timeout of a read of cache events, in milliseconds. */
const EVENT_WAIT_MS = 5_000
/**
 * Delay after a read that returned events, in milliseconds. Events accumulate meanwhile, which limits the number of
 * reads at a busy engine.
 */
const EVENT_PAUSE_MS = 1_000
const EVENT_RETRY_MS = 2_000
/** Maximum number of contexts remembered for one engine. */
const MAXIMUM_CONTEXTS = 20_000

/** Monitors one endpoint on behalf of its owner: health probes, load reports and, for model engines, cache events. */
export class EndpointWatch {
  /** Contexts that the engine holds according to its cache events. */
  readonly cache: CacheIndex
  private readonly _options: EndpointWatchOptions
  private _failedProbes = 0
  private _lastLoadReport: LoadReport | undefined

  /**
   * @param options address of the endpoint, intervals and callbacks
   */
  constructor (options: EndpointWatchOptions) {
    this._options = options
    this.cache = new CacheIndex(options.clock, MAXIMUM_CONTEXTS)
  }

  /** Whether at least two consecutive probes have failed, and none has succeeded since. */
  get failed (): boolean {
    return this._failedProbes >= FAILURE_THRESHOLD
  }

  /** Most recent load report; undefined before the first. */
  get reportedLoad (): LoadReport | undefined {
    return this._lastLoadReport
  }

  /**
   * Monitors the endpoint until the signal aborts.
   * @param signal stops all tasks
   */
  async run (signal: AbortSignal): Promise<void> {
    const tasks = [this._probe(signal)]
    if (this._options.publishesCacheEvents) tasks.push(this._pollCacheEvents(signal))
    await Promise.all(tasks)
  }

  private async _probe (signal: AbortSignal): Promise<void> {
    const { clock, pollMs } = this._options
    const client = this._openClient()
    while (!signal.aborted) {
      const healthy = await this._isHealthy(client, signal)
      if (signal.aborted) break
      this._failedProbes = healthy ? 0 : this._failedProbes + 1
      this._options.onProbe(healthy)
      if (healthy) await this._readLoad(client, signal)
      await clock.sleep(this._failedProbes === 1 ? PROBE_RETRY_MS : pollMs, signal)
    }
    await client.close()
  }

  private async _isHealthy (client: EndpointProbeClient, signal: AbortSignal): Promise<boolean> {
    try {
      await client.getJson('/healthz', PROBE_TIMEOUT_MS, signal)
      return true
    } catch (error) {
      if (!signal.aborted) this._options.eventLog.info('probe-failed', { endpoint: this._options.address, error: String(error) })
      return false
    }
  }

  private async _readLoad (client: EndpointProbeClient, signal: AbortSignal): Promise<void> {
    try {
      const body = await client.getJson('/v1/load', PROBE_TIMEOUT_MS, signal)
      const report = readLoadReport(body, this._options.clock.now())
      if (report === undefined) return
      this._lastLoadReport = report
      this._options.onLoadReport(report)
    } catch (error) {
      if (!signal.aborted) this._options.eventLog.info('load-report-failed', { endpoint: this._options.address, error: String(error) })
    }
  }

  private async _pollCacheEvents (signal: AbortSignal): Promise<void> {
    const clock = this._options.clock
    const client = this._openClient()
    let connections = 0
    while (!signal.aborted) {
      try {
        const page = await this._readEvents(client, signal)
        // A new connection can mean that the engine has restarted and that its sequence numbers start over.
        const reconnected = client.connections !== connections && connections > 0
        connections = client.connections
        if (reconnected) {
          this.cache.resync()
          continue
        }
        this.cache.apply(page)
        await clock.sleep(page.events.length > 0 ? EVENT_PAUSE_MS : 0, signal)
      } catch (error) {
        if (signal.aborted) break
        this._options.eventLog.info('cache-events-failed', { endpoint: this._options.address, error: String(error) })
        await clock.sleep(EVENT_RETRY_MS, signal)
      }
    }
    await client.close()
  }

  private async _readEvents (client: EndpointProbeClient, signal: AbortSignal): Promise<CacheEventPage> {
    const path = `/v1/cache-events?after=${this.cache.position}&wait_ms=${EVENT_WAIT_MS}`
    return CacheEventPage.parse(await client.getJson(path, EVENT_WAIT_MS + PROBE_TIMEOUT_MS, signal))
  }

  private _openClient (): EndpointProbeClient {
    return new EndpointProbeClient(this._options.address, this._options.connectTimeoutMs, this._options.traffic)
  }
}
