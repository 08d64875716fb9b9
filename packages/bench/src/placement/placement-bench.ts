import { Option } from 'clipanion'
import { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import { PlacementGoal } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import { BenchCommand } from '../command/bench-command.js'
import { parseWholeNumber } from '../command/parse-whole-number.js'
import { Fleet } from '../fleet/fleet.js'
import { BoundedRendezvousPolicy } from './bounded-rendezvous-policy.js'
import type { ArrivalOptions } from './arrival-options.js'
import { drawArrivals } from './draw-arrivals.js'
import type { EngineOutage } from './engine-outage.js'
import type { EngineParameters } from './engine-parameters.js'
import { FleetFaults } from './fleet-faults.js'
import { FleetRun } from './fleet-run.js'
import { OraclePolicy } from './oracle-policy.js'
import { PlacementFault } from './placement-fault.js'
import { RendezvousPolicy } from './rendezvous-policy.js'
import type { ReplayOptions } from './replay-options.js'
import { replayArrivals } from './replay-arrivals.js'
import { TIME_SCALE } from './time-scale.js'
import { TwoChoicesPolicy } from './two-choices-policy.js'

const CAPACITY = 32
const LOAD_MULTIPLE = 1.25
/** Mean load of an engine, in requests, for which the arrival rate is calculated. */
const MEAN_LOAD = 16
const WORKSPACES = 10
const SAMPLE_MS = 1_000 / TIME_SCALE
const REPORT_LAG_MS = 2_000 / TIME_SCALE
const WARM_UP_MS = 40_000 / TIME_SCALE
/** Few chats last longer, so that the run starts with a realistic share of returning chats. */
const HISTORY_MS = 480_000 / TIME_SCALE
const MEAN_TURNS = 6
const PAUSE_MS = 16_000 / TIME_SCALE
const RESPONSE_MS = 8_000 / TIME_SCALE
const CHURN_PERIOD_MS = 40_000 / TIME_SCALE
const CHURN_OUTAGE_MS = 15_000 / TIME_SCALE
const SURGE_PERIOD_MS = 80_000 / TIME_SCALE
const SURGE_MS = 20_000 / TIME_SCALE
/** Mean length of the responses that `drawArrivals` draws, in tokens. */
const MEAN_RESPONSE_TOKENS = 15.5
const MEAN_PREFILL_TOKENS = 350
const CACHE_BYTES_PER_TOKEN = 128
const PREFILL_MS_PER_TOKEN = 1.6 / TIME_SCALE

const ENGINE_PARAMETERS: EngineParameters = {
  capacity: CAPACITY,
  tokenMs: 400 / TIME_SCALE,
  tokenMsPerRequest: 8 / TIME_SCALE,
  prefillMsPerToken: PREFILL_MS_PER_TOKEN,
  cacheLimitTokens: 80_000
}

/**
 * Measures context reuse and load skew on real routers with stand-in engines, and compares them with an oracle and
 * baseline policies.
 */
export class PlacementBench extends BenchCommand {
  static override paths = [['placement']]
  static override usage = BenchCommand.Usage({ description: 'Context reuse under an upper bound on load, compared with an oracle and baseline policies.' })
  routers = Option.String('--routers', '8', { description: 'Routers.' })
  engines = Option.String('--engines', '13', { description: 'Model engines.' })
  faults = Option.String('--faults', 'churn,surge,lag', { description: 'Faults to inject: churn, surge, lag, disagree, silent; separated by commas, or none.' })
  goal = Option.String('--goal', 'skew', { description: 'Placement goal of the pool: skew or reuse.' })
  seconds = Option.String('--seconds', '90', { description: 'Duration of the run, including the warm-up.' })
  contextWait = Option.String('--context-wait-ms', '125', { description: 'Maximum wait for an engine that has the context cached.' })
  carry = Option.Boolean('--carry', true, { description: 'Whether contexts are transferred between engines.' })

  /** Replays the arrivals with each policy, then sends them to a fleet. */
  async measure (): Promise<object> {
    const faults = parseFaults(this.faults)
    const goal = this.goal === 'reuse' ? PlacementGoal.REUSE : PlacementGoal.SKEW
    const bound = new AdmissionBound(LOAD_MULTIPLE, goal)
    const durationMs = parseWholeNumber('seconds', this.seconds) * 1_000
    const engines = parseWholeNumber('engines', this.engines)
    const arrivals = drawArrivals(this._arrivalOptions(engines, durationMs, faults))
    const outages = faults.has(PlacementFault.CHURN) ? drawOutages(this.seedNumber, engines, durationMs) : []
    const replay: ReplayOptions = { arrivals, engineCount: engines, engineParameters: ENGINE_PARAMETERS, outages, bound, sampleMs: SAMPLE_MS, warmUpMs: WARM_UP_MS }
    const oracle = replayArrivals(new OraclePolicy(bound, CAPACITY), replay)
    const rendezvous = replayArrivals(new RendezvousPolicy(), replay)
    const boundedRendezvous = replayArrivals(new BoundedRendezvousPolicy(bound, CAPACITY, REPORT_LAG_MS), replay)
    const twoChoices = replayArrivals(new TwoChoicesPolicy(this.seedNumber, REPORT_LAG_MS), replay)
    this.progress(`${arrivals.length} arrivals; oracle ${JSON.stringify(oracle)}`)
    this.progress(`rendezvous ${JSON.stringify(rendezvous)}; bounded rendezvous ${JSON.stringify(boundedRendezvous)}; two choices ${JSON.stringify(twoChoices)}`)
    const measured = await this._runFleet(faults, goal, bound, arrivals, outages, engines)
    return {
      seed: this.seedNumber,
      ...measured,
      reuse_oracle: round(oracle.reuse),
      reuse_rendezvous: round(rendezvous.reuse),
      reuse_alone: round(boundedRendezvous.reuse),
      reuse_two_choices: round(twoChoices.reuse),
      skew_worst_oracle: round(oracle.skewWorst),
      share_over_bound_oracle: round(oracle.shareOverBound),
      share_over_bound_rendezvous: round(rendezvous.shareOverBound),
      share_over_bound_alone: round(boundedRendezvous.shareOverBound),
      share_over_bound_two_choices: round(twoChoices.shareOverBound),
      mean_load_oracle: round(oracle.meanLoad),
      skew_setting: this.goal,
      faults: [...faults].join(','),
      load_multiple: LOAD_MULTIPLE,
      admission_multiple: round(bound.admissionMultiple),
      contextless_multiple: round(bound.contextlessMultiple),
      context_wait_ms: parseWholeNumber('context-wait-ms', this.contextWait),
      carry_context: this.carry,
      time_scale: TIME_SCALE
    }
  }

  private _arrivalOptions (engines: number, durationMs: number, faults: ReadonlySet<PlacementFault>): ArrivalOptions {
    const responseMs = MEAN_RESPONSE_TOKENS * (ENGINE_PARAMETERS.tokenMs + ENGINE_PARAMETERS.tokenMsPerRequest * (MEAN_LOAD - 1)) + MEAN_PREFILL_TOKENS * ENGINE_PARAMETERS.prefillMsPerToken
    const chatsPerSecond = engines * MEAN_LOAD * 1_000 / responseMs / MEAN_TURNS
    const surgeTimes: number[] = []
    if (faults.has(PlacementFault.SURGE)) for (let at = WARM_UP_MS * 1.5; at < durationMs; at += SURGE_PERIOD_MS) surgeTimes.push(at)
    return {
      seed: this.seedNumber,
      historyMs: HISTORY_MS,
      durationMs,
      chatsPerSecond,
      meanTurns: MEAN_TURNS,
      responseMs: RESPONSE_MS,
      meanPauseMs: PAUSE_MS,
      workspaces: WORKSPACES,
      surgeTimes,
      surgeMs: SURGE_MS,
      surgeChatsPerSecond: chatsPerSecond
    }
  }

  private async _runFleet (
    faults: ReadonlySet<PlacementFault>, goal: PlacementGoal, bound: AdmissionBound,
    arrivals: Parameters<typeof replayArrivals>[1]['arrivals'], outages: readonly EngineOutage[], engines: number
  ): Promise<object> {
    const fleet = await Fleet.start({
      routers: parseWholeNumber('routers', this.routers),
      engines: Array.from({ length: engines }, () => ({ ...ENGINE_PARAMETERS, cacheBytesPerToken: CACHE_BYTES_PER_TOKEN })),
      workspaces: Array.from({ length: WORKSPACES }, (_, index) => ({ name: `workspace-${index}` })),
      modelPool: {
        goal,
        loadMultiple: LOAD_MULTIPLE,
        contextWaitMs: parseWholeNumber('context-wait-ms', this.contextWait),
        carryContext: this.carry
      },
      settings: {
        placement: {
          cache_bytes_per_token: CACHE_BYTES_PER_TOKEN,
          prefill_us_per_token: PREFILL_MS_PER_TOKEN * 1_000,
          link_bytes_per_ms: 50_000,
          carry_fixed_ms: 5
        }
      }
    })
    const fleetFaults = new FleetFaults(fleet, faults)
    const run = new FleetRun({ fleet, faults: fleetFaults, arrivals, bound, seed: this.seedNumber, sampleMs: SAMPLE_MS, warmUpMs: WARM_UP_MS })
    const startedAt = performance.now()
    fleetFaults.start(outages, arrivals.at(-1)?.arrivesAt ?? 0)
    await run.run()
    fleetFaults.stop()
    const seconds = (performance.now() - startedAt) / 1_000
    const placements = fleet.routers.map((router) => router.process.components.placement)
    const figures = summarizeRun(run, fleet)
    const transferredBytes = placements.reduce((sum, placement) => sum + placement.contextTransfers.transferredBytes, 0)
    const transferredContexts = placements.reduce((sum, placement) => sum + placement.contextTransfers.transferredContexts, 0)
    for (const line of run.errorLines) this.progress(line)
    await fleet.stop()
    return { ...figures, carried_contexts: transferredContexts, carried_bytes_per_second: Math.round(transferredBytes / seconds) }
  }
}

function summarizeRun (run: FleetRun, fleet: Fleet): object {
  const served = run.outcomes.filter(({ outcome }) => outcome.status === 200)
  const returning = served.filter(({ arrival }) => arrival.turn > 0)
  const sum = (value: (each: typeof served[number]) => number): number => returning.reduce((total, each) => total + value(each), 0)
  const refused = run.outcomes.filter(({ outcome }) => outcome.status !== 200)
  const acceptedRequestIds = new Set(fleet.engines.flatMap((engine) => [...engine.acceptedRequestIds]))
  const firstTokens = served.map(({ outcome }) => outcome.firstTokenMs).sort((left, right) => left - right)
  return {
    requests: run.outcomes.length,
    reuse: round(sum(({ outcome }) => outcome.cachedTokens) / Math.max(1, sum(({ arrival }) => arrival.promptTokens))),
    skew_worst: round(run.samples.skewWorst),
    share_over_bound: round(run.samples.shareOverBound),
    samples: run.samples.count,
    mean_load: round(run.samples.meanLoad),
    control_bytes_per_second_worst: Math.round(run.maximumControlBytesPerSecond),
    wrong_answers: served.filter(({ outcome }) => !outcome.isCorrect && !outcome.isIncomplete).length,
    incomplete_answers: served.filter(({ outcome }) => outcome.isIncomplete).length,
    false_not_run: refused.filter(({ outcome }) => outcome.isNotRun && acceptedRequestIds.has(outcome.requestId)).length,
    refused: refused.length,
    broken_connections: run.brokenConnections,
    ttft_p50_ms: Math.round(firstTokens[Math.floor(firstTokens.length * 0.5)] ?? 0),
    ttft_p95_ms: Math.round(firstTokens[Math.floor(firstTokens.length * 0.95)] ?? 0),
    bench_delay_ms_worst: Math.round(run.maximumTimerDelayMs)
  }
}

function drawOutages (seed: number, engines: number, durationMs: number): EngineOutage[] {
  const random = new SeededRandom(seed + 2)
  const outages: EngineOutage[] = []
  for (let from = CHURN_PERIOD_MS; from + CHURN_OUTAGE_MS < durationMs; from += CHURN_PERIOD_MS) {
    outages.push({ engine: random.below(engines), from, to: from + CHURN_OUTAGE_MS })
  }
  return outages
}

function parseFaults (text: string): Set<PlacementFault> {
  const faultsByName = new Map<string, PlacementFault>(Object.values(PlacementFault).map((fault) => [fault, fault]))
  return new Set(text.split(',').filter((name) => name !== '' && name !== 'none').map((name) => {
    const fault = faultsByName.get(name)
    if (fault === undefined) throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, `--faults does not accept ${name}`, { field: 'faults' })
    return fault
  }))
}

function round (value: number): number {
  return Number(value.toFixed(4))
}
