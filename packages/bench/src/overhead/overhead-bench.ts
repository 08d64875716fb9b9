import { Option } from 'clipanion'
import { BenchCommand } from '../command/bench-command.js'
import { parseWholeNumber } from '../command/parse-whole-number.js'
import { Fleet } from '../fleet/fleet.js'
import { useEngineAddresses } from '../fleet/use-engine-addresses.js'
import { EndpointWorkers } from '../load/endpoint-workers.js'
import type { LoadOptions } from '../load/load-options.js'
import type { LoadSummary } from '../load/load-summary.js'
import { LoadWorkers } from '../load/load-workers.js'
import { PassThrough } from './pass-through.js'

const ROUNDS = 3
const CONCURRENCY = 64
const LOAD_THREADS = 2
const ENDPOINT_CAPACITY = 4_096
const WARM_UP_MS = 2_000
const MESSAGES = [{ role: 'system', content: 'You help guests.' }, { role: 'user', content: 'what is left on the list? '.repeat(16) }]

/** Compares throughput and latency through one router with those of a plain pass-through proxy in the same run. */
export class OverheadBench extends BenchCommand {
  static override paths = [['overhead']]
  static override usage = BenchCommand.Usage({ description: 'Throughput and latency through one router, compared with a plain pass-through proxy.' })
  /** Value of `--seconds`. */
  seconds = Option.String('--seconds', '4', { description: 'Duration of each run, in seconds.' })

  /** Alternates runs through router and proxy, so that a change in the speed of the machine affects both alike. */
  async measure (): Promise<object> {
    const endpoints = await EndpointWorkers.start([{ kind: 'instant' }])
    const passThrough = new PassThrough(endpoints.addresses[0] ?? '')
    await passThrough.start()
    const fleet = await Fleet.start({ routers: 1, engines: [{}], services: 0 })
    await fleet.submit(useEngineAddresses(fleet.defaultConfiguration(), endpoints.addresses, ENDPOINT_CAPACITY))
    const load = new LoadWorkers(LOAD_THREADS)
    const addresses = [passThrough.address, fleet.callerAddress(0)]
    try {
      for (const address of addresses) await load.run({ ...this._loadOptions(address), durationMs: WARM_UP_MS })
      const throughput = await this._runRounds(load, addresses, undefined)
      const [baselinePeak, routerPeak] = throughput.map((runs) => median(runs.map((run) => run.ratePerSecond)))
      const rate = Math.floor((routerPeak ?? 0) / 2)
      this.progress(`peak requests per second: pass-through ${baselinePeak}, router ${routerPeak}; measuring latency at ${rate}`)
      const latency = await this._runRounds(load, addresses, rate)
      return report(throughput, latency, rate)
    } finally {
      await load.stop()
      await fleet.stop()
      await passThrough.stop()
      await endpoints.stop()
    }
  }

  private async _runRounds (load: LoadWorkers, addresses: readonly string[], ratePerSecond: number | undefined): Promise<LoadSummary[][]> {
    const runs: LoadSummary[][] = addresses.map(() => [])
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const [index, address] of addresses.entries()) runs[index]?.push(await load.run({ ...this._loadOptions(address), ratePerSecond, seed: this.seedNumber + round }))
    }
    return runs
  }

  private _loadOptions (address: string): LoadOptions {
    return {
      address,
      path: '/v1/chat/completions',
      headers: { 'content-type': 'application/json', 'mimosarock-workspace': 'alpha' },
      body: JSON.stringify({ model: 'm', messages: MESSAGES, stream: true }),
      durationMs: parseWholeNumber('seconds', this.seconds) * 1_000,
      concurrency: CONCURRENCY,
      seed: this.seedNumber,
      expectedEnd: 'data: [DONE]\n\n'
    }
  }
}

function report (throughput: readonly LoadSummary[][], latency: readonly LoadSummary[][], rate: number): object {
  const medianOf = (runs: readonly LoadSummary[] | undefined, select: (run: LoadSummary) => number): number => median((runs ?? []).map(select))
  const [baseline, router] = latency
  const [baselinePeak, routerPeak] = throughput
  const p50 = (run: LoadSummary): number => run.p50Ms
  const p99 = (run: LoadSummary): number => run.p99Ms
  const peak = (run: LoadSummary): number => run.ratePerSecond
  return {
    throughput_ratio: round(medianOf(routerPeak, peak) / medianOf(baselinePeak, peak)),
    added_p50_ms: round(medianOf(router, p50) - medianOf(baseline, p50)),
    added_p99_ms: round(medianOf(router, p99) - medianOf(baseline, p99)),
    baseline_p50_ms: round(medianOf(baseline, p50)),
    baseline_p99_ms: round(medianOf(baseline, p99)),
    baseline_per_second: Math.round(medianOf(baselinePeak, peak)),
    router_per_second: Math.round(medianOf(routerPeak, peak)),
    latency_rate_per_second: rate,
    failed: [...throughput, ...latency].flat().reduce((total, run) => total + run.failed, 0)
  }
}

function median (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? NaN
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}
