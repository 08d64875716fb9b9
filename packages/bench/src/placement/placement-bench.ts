import { Option } from 'clipanion'
import { AdmissionBound } from '@mimosarock/placement/admission-bound.js'
import { PlacementGoal } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import { BenchCommand } from '../command/bench-command.js'
import { parseWholeNumber } from '../command/parse-whole-number.js'
import { Fleet } from '../fleet/fleet.js'
import { AlonePolicy } from './alone-policy.js'
import type { ArrivalOptions } from './arrival-options.js'
import { drawArrivals } from './draw-arrivals.js'
import type { EngineLoss } from './engine-loss.js'
import type { EngineRules } from './engine-rules.js'
import { FleetFaults } from './fleet-faults.js'
import { FleetRun } from './fleet-run.js'
import { OraclePolicy } from './oracle-policy.js'
import { PlacementFault } from './placement-fault.js'
import { RendezvousPolicy } from './rendezvous-policy.js'
import type { ReplayOptions } from './replay-options.js'
import { replayArrivals } from './replay-arrivals.js'
import { SCALE } from './scale.js'
import { TwoChoicesPolicy } from './two-choices-policy.js'

const CAPACITY = 32
const LOAD_MULTIPLE = 1.25
const MEAN_LOAD = 16
const WORKSPACES = 10
const SAMPLE_MS = 1_000 / SCALE
const REPORT_LAG_MS = 2_000 / SCALE
const WARM_UP_MS = 40_000 / SCALE
/** Long enough that few chats are older. */
const HISTORY_MS = 480_000 / SCALE
const MEAN_TURNS = 6
const PAUSE_MS = 16_000 / SCALE
const ANSWER_MS = 8_000 / SCALE
const CHURN_PERIOD_MS = 40_000 / SCALE
const CHURN_LOSS_MS = 15_000 / SCALE
const SURGE_PERIOD_MS = 80_000 / SCALE
const SURGE_MS = 20_000 / SCALE
const MEAN_ANSWER_TOKENS = 15.5
const MEAN_PREFILL_TOKENS = 350
const CACHE_BYTES_PER_TOKEN = 128
const PREFILL_MS_PER_TOKEN = 1.6 / SCALE

const RULES: EngineRules = {
  capacity: CAPACITY,
  tokenMs: 400 / SCALE,
  tokenMsPerRequest: 8 / SCALE,
  prefillMsPerToken: PREFILL_MS_PER_TOKEN,
  cacheLimitTokens: 80_000
}

/** Measures reuse of context and skew of load on real routers and stand-in engines, beside oracle and baselines. */
export class PlacementBench extends BenchCommand {
  static override paths = [['placement']]
  static override usage = BenchCommand.Usage({ description: 'Reuse of context under a bound on load, beside an oracle and baselines.' })
  routers = Option.String('--routers', '8', { description: 'Routers.' })
  engines = Option.String('--engines', '13', { description: 'Model engines.' })
  faults = Option.String('--faults', 'churn,surge,lag', { description: 'Faults: churn, surge, lag, disagree, silent; separated by commas.' })
  goal = Option.String('--goal', 'skew', { description: 'What the pool weighs most: skew or reuse.' })
  seconds = Option.String('--seconds', '90', { description: 'Length of the run, warm-up included.' })
  contextWait = Option.String('--context-wait-ms', '125', { description: 'Longest wait for the engine that holds the context.' })
  carry = Option.Boolean('--carry', true, { description: 'Whether contexts are carried.' })

  /** Runs the bench. */
  async measure (): Promise<object> {
    const faults = parseFaults(this.faults)
    const goal = this.goal === 'reuse' ? PlacementGoal.REUSE : PlacementGoal.SKEW
    const bound = new AdmissionBound(LOAD_MULTIPLE, goal)
    const durationMs = parseWholeNumber('seconds', this.seconds) * 1_000
    const engines = parseWholeNumber('engines', this.engines)
    const arrivals = drawArrivals(this._arrivalOptions(engines, durationMs, faults))
    const losses = faults.has(PlacementFault.CHURN) ? drawLosses(this.seedNumber, engines, durationMs) : []
    const replay: ReplayOptions = { arrivals, engines, rules: RULES, losses, bound, sampleMs: SAMPLE_MS, warmUpMs: WARM_UP_MS }
    const oracle = replayArrivals(new OraclePolicy(bound, CAPACITY), replay)
    const rendezvous = replayArrivals(new RendezvousPolicy(), replay)
    const alone = replayArrivals(new AlonePolicy(bound, CAPACITY, REPORT_LAG_MS), replay)
    const twoChoices = replayArrivals(new TwoChoicesPolicy(this.seedNumber, REPORT_LAG_MS), replay)
    this.progress(`${arrivals.length} arrivals; oracle ${JSON.stringify(oracle)}`)
    this.progress(`rendezvous ${JSON.stringify(rendezvous)}; alone ${JSON.stringify(alone)}; two choices ${JSON.stringify(twoChoices)}`)
    const measured = await this._runFleet(faults, goal, bound, arrivals, losses, engines)
    return {
      seed: this.seedNumber,
      ...measured,
      reuse_oracle: round(oracle.reuse),
      reuse_rendezvous: round(rendezvous.reuse),
      reuse_alone: round(alone.reuse),
      reuse_two_choices: round(twoChoices.reuse),
      skew_worst_oracle: round(oracle.skewWorst),
      share_over_bound_oracle: round(oracle.shareOverBound),
      share_over_bound_rendezvous: round(rendezvous.shareOverBound),
      share_over_bound_alone: round(alone.shareOverBound),
      share_over_bound_two_choices: round(twoChoices.shareOverBound),
      mean_load_oracle: round(oracle.meanLoad),
      skew_setting: this.goal,
      faults: [...faults].join(','),
      load_multiple: LOAD_MULTIPLE,
      admission_multiple: round(bound.admissionMultiple),
      contextless_multiple: round(bound.contextlessMultiple),
      context_wait_ms: parseWholeNumber('context-wait-ms', this.contextWait),
      carry_context: this.carry,
      time_scale: SCALE
    }
  }

  private _arrivalOptions (engines: number, durationMs: number, faults: ReadonlySet<PlacementFault>): ArrivalOptions {
    const answerMs = MEAN_ANSWER_TOKENS * (RULES.tokenMs + RULES.tokenMsPerRequest * (MEAN_LOAD - 1)) + MEAN_PREFILL_TOKENS * RULES.prefillMsPerToken
    const chatsPerSecond = engines * MEAN_LOAD * 1_000 / answerMs / MEAN_TURNS
    const surgesAt: number[] = []
    if (faults.has(PlacementFault.SURGE)) for (let at = WARM_UP_MS * 1.5; at < durationMs; at += SURGE_PERIOD_MS) surgesAt.push(at)
    return {
      seed: this.seedNumber,
      historyMs: HISTORY_MS,
      durationMs,
      chatsPerSecond,
      meanTurns: MEAN_TURNS,
      answerMs: ANSWER_MS,
      meanPauseMs: PAUSE_MS,
      workspaces: WORKSPACES,
      surgesAt,
      surgeMs: SURGE_MS,
      surgeChatsPerSecond: chatsPerSecond
    }
  }

  private async _runFleet (
    faults: ReadonlySet<PlacementFault>, goal: PlacementGoal, bound: AdmissionBound,
    arrivals: Parameters<typeof replayArrivals>[1]['arrivals'], losses: readonly EngineLoss[], engines: number
  ): Promise<object> {
    const fleet = await Fleet.start({
      routers: parseWholeNumber('routers', this.routers),
      engines: Array.from({ length: engines }, () => ({ ...RULES, cacheBytesPerToken: CACHE_BYTES_PER_TOKEN })),
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
    fleetFaults.start(losses, arrivals.at(-1)?.at ?? 0)
    await run.run()
    fleetFaults.stop()
    const seconds = (performance.now() - startedAt) / 1_000
    const carriers = fleet.routers.map((router) => router.process.components.placement)
    const figures = figuresOf(run, fleet)
    const carried = carriers.reduce((sum, parts) => sum + parts.carrier.transferredBytes, 0)
    const contexts = carriers.reduce((sum, parts) => sum + parts.carrier.transferredContexts, 0)
    for (const line of run.faultLines) this.progress(line)
    await fleet.stop()
    return { ...figures, carried_contexts: contexts, carried_bytes_per_second: Math.round(carried / seconds) }
  }
}

function figuresOf (run: FleetRun, fleet: Fleet): object {
  const answered = run.outcomes.filter(({ outcome }) => outcome.status === 200)
  const returning = answered.filter(({ arrival }) => arrival.turn > 0)
  const sum = (value: (each: typeof answered[number]) => number): number => returning.reduce((total, each) => total + value(each), 0)
  const refused = run.outcomes.filter(({ outcome }) => outcome.status !== 200)
  const taken = new Set(fleet.engines.flatMap((engine) => [...engine.acceptedRequestIds]))
  const firstTokens = answered.map(({ outcome }) => outcome.firstTokenMs).sort((left, right) => left - right)
  return {
    requests: run.outcomes.length,
    reuse: round(sum(({ outcome }) => outcome.cachedTokens) / Math.max(1, sum(({ arrival }) => arrival.promptTokens))),
    skew_worst: round(run.samples.skewWorst),
    share_over_bound: round(run.samples.shareOverBound),
    samples: run.samples.count,
    mean_load: round(run.samples.meanLoad),
    control_bytes_per_second_worst: Math.round(run.controlWorst),
    wrong_answers: answered.filter(({ outcome }) => !outcome.correct && !outcome.incomplete).length,
    incomplete_answers: answered.filter(({ outcome }) => outcome.incomplete).length,
    false_not_run: refused.filter(({ outcome }) => outcome.refusedNotRun && taken.has(outcome.requestId)).length,
    refused: refused.length,
    broken_connections: run.broken,
    ttft_p50_ms: Math.round(firstTokens[Math.floor(firstTokens.length * 0.5)] ?? 0),
    ttft_p95_ms: Math.round(firstTokens[Math.floor(firstTokens.length * 0.95)] ?? 0),
    bench_delay_ms_worst: Math.round(run.worstDelayMs)
  }
}

function drawLosses (seed: number, engines: number, durationMs: number): EngineLoss[] {
  const random = new SeededRandom(seed + 2)
  const losses: EngineLoss[] = []
  for (let from = CHURN_PERIOD_MS; from + CHURN_LOSS_MS < durationMs; from += CHURN_PERIOD_MS) {
    losses.push({ engine: random.below(engines), from, to: from + CHURN_LOSS_MS })
  }
  return losses
}

function parseFaults (text: string): Set<PlacementFault> {
  const known = new Map<string, PlacementFault>(Object.values(PlacementFault).map((fault) => [fault, fault]))
  return new Set(text.split(',').filter((name) => name !== '' && name !== 'none').map((name) => {
    const fault = known.get(name)
    if (fault === undefined) throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, `--faults has no ${name}`, { field: 'faults' })
    return fault
  }))
}

function round (value: number): number {
  return Number(value.toFixed(4))
}
