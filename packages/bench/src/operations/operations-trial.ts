import { Agent, request } from 'undici'
import type { LogService } from '@mimosarock/coordination/log-service.js'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import { OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import { Fleet } from '../fleet/fleet.js'
import { AppendCounter } from './append-counter.js'
import { GatedClock } from './gated-clock.js'
import { GatedLogService } from './gated-log-service.js'
import { KeyedCaller } from './keyed-caller.js'
import type { KeyedOutcome } from './keyed-outcome.js'
import { OperationFaults } from './operation-faults.js'
import type { OperationsResult } from './operations-result.js'
import { PauseGate } from './pause-gate.js'

const ROUTERS = 8
const SERVICES = 3
const START_INTERVAL_MS = 10
const BASELINE_MS = 5_000
const ROUND_MS = 1_100
const MINIMUM_ROUNDS = 20
const SETTLE_TIMEOUT_MS = 10_000
const MAXIMUM_BODY_BYTES = 2_000
const LONGEST_PAUSE_MS = 3_000
const DEADLINE_MS = 2_000
const FIRST_BYTE_MS = 1_200
const REPEATABLE_CALLS = 300
const LOG_DOWN_MS = 1_500
const REPEATABLE_PAUSE_MS = 5
const LIST_LIMIT = 1_000_000

/** Measures keyed calls, which must run at most once, first without and then with injected faults. */
export class OperationsTrial {
  private readonly _random: SeededRandom
  private readonly _seconds: number
  private readonly _keysPerSecond: number
  private readonly _gates = new Map<string, PauseGate>()
  private readonly _counter = new AppendCounter('operations-')
  private readonly _outcomes: KeyedOutcome[] = []
  private readonly _pendingKeys: Array<Promise<void>> = []

  /**
   * @param seed seed of the random number generator
   * @param seconds duration of the load, in seconds; extended if the fault rounds need longer
   * @param keysPerSecond new keys per second
   */
  constructor (seed: number, seconds: number, keysPerSecond: number) {
    this._random = new SeededRandom(seed)
    this._seconds = seconds
    this._keysPerSecond = keysPerSecond
  }

  /**
   * Runs the load, injects the faults and checks the outcome of every key.
   * @param progress receives one line of text at a time
   */
  async run (progress: (text: string) => void): Promise<OperationsResult> {
    const fleet = await this._startFleet()
    const caller = new KeyedCaller(() => fleet.routers.map((router) => router.addresses.callers), this._random)
    const abandonController = new AbortController()
    try {
      const repeatable = await this._measureRepeatable(fleet, REPEATABLE_CALLS)
      const baseline = await this._runLoad(caller, abandonController.signal, BASELINE_MS, async () => await sleep(BASELINE_MS))
      const baselineMedianMs = median(this._outcomes.flatMap((outcome) => outcome.doneAt === undefined ? [] : [outcome.doneAt - outcome.startedAt]))
      progress(`without faults: ${baseline.keys} keys, ${baseline.appends} appends in ${baseline.ms.toFixed(0)} ms, median ${baselineMedianMs.toFixed(1)} ms`)
      const logDown = await this._measureLogDown(fleet)
      const faults = new OperationFaults(fleet, this._gates, this._random)
      const faultMs = Math.max(this._seconds * 1_000 - BASELINE_MS, MINIMUM_ROUNDS * ROUND_MS)
      const rounds = Math.floor(faultMs / ROUND_MS)
      const underFaults = await this._runLoad(caller, abandonController.signal, faultMs, async () => await faults.run(rounds, ROUND_MS))
      progress(`faults: ${underFaults.keys} keys, ${underFaults.appends} appends in ${underFaults.ms.toFixed(0)} ms`)
      const lastFaultAt = performance.now()
      await Promise.race([Promise.all(this._pendingKeys), sleep(SETTLE_TIMEOUT_MS)])
      abandonController.abort()
      await Promise.all(this._pendingKeys)
      return {
        calls: caller.callCount,
        keys: this._outcomes.length,
        ...this._checkOutcomes(fleet, progress, lastFaultAt + SETTLE_TIMEOUT_MS),
        added_p50_ms: round(baselineMedianMs - repeatable.medianMs),
        log_appends_per_second: round(baseline.appends / baseline.ms * 1_000),
        log_appends_per_second_under_faults: round(underFaults.appends / underFaults.ms * 1_000),
        keyed_calls_per_second: round(baseline.keys / baseline.ms * 1_000),
        repeatable_failed_log_down: logDown.failed,
        repeatable_calls_log_down: logDown.calls,
        repeatable_p50_ms: round(repeatable.medianMs),
        repeatable_p50_ms_log_down: round(logDown.medianMs),
        refusal_worst_ms_log_down: round(logDown.refusalWorstMs),
        faults: faults.counts
      }
    } finally {
      abandonController.abort()
      for (const gate of this._gates.values()) gate.open()
      await caller.close()
      await fleet.stop()
    }
  }

  private async _startFleet (): Promise<Fleet> {
    return await Fleet.start({
      routers: ROUTERS,
      engines: [],
      services: SERVICES,
      paymentsRoute: { deadlineMs: DEADLINE_MS, statusPath: '/v1/runs/{key}' },
      settings: {
        operations: { longest_pause_ms: LONGEST_PAUSE_MS },
        endpoints: { first_byte_timeout_ms: FIRST_BYTE_MS, silence_timeout_ms: FIRST_BYTE_MS }
      },
      processOptions: (routerId, defaults) => {
        const gate = new PauseGate()
        this._gates.set(routerId, gate)
        return { clock: new GatedClock(new SystemClock(), gate), logService: this._wrapLogService(defaults.logService, gate) }
      }
    })
  }

  private _wrapLogService (logService: LogService, gate: PauseGate): LogService {
    return new GatedLogService(this._counter.wrap(logService), gate)
  }

  /** Starts operations with new keys at a constant rate until the time has elapsed and the concurrent task has ended. */
  private async _runLoad (caller: KeyedCaller, abandonSignal: AbortSignal, ms: number, concurrentTask: () => Promise<void>): Promise<{ keys: number, appends: number, ms: number }> {
    const startedAt = performance.now()
    const appendsBefore = this._counter.appends
    const keysBefore = this._outcomes.length
    const taskEnded = new AbortController()
    const running = concurrentTask().finally(() => taskEnded.abort())
    while (!taskEnded.signal.aborted || performance.now() - startedAt < ms) {
      const due = Math.floor((performance.now() - startedAt) / 1_000 * this._keysPerSecond)
      while (this._outcomes.length - keysBefore < due) this._pendingKeys.push(caller.run(this._createOutcome(), abandonSignal))
      await sleep(START_INTERVAL_MS)
    }
    await running
    return { keys: this._outcomes.length - keysBefore, appends: this._counter.appends - appendsBefore, ms: performance.now() - startedAt }
  }

  private _createOutcome (): KeyedOutcome {
    const outcome: KeyedOutcome = {
      key: this._createUuidV7(),
      path: `/payments/${this._outcomes.length}`,
      body: Buffer.alloc(this._random.below(MAXIMUM_BODY_BYTES), this._outcomes.length & 0xff),
      startedAt: performance.now(),
      callIds: [],
      notRunCallIds: [],
      doneAt: undefined,
      hasWrongResponse: false,
      lastCode: 0
    }
    this._outcomes.push(outcome)
    return outcome
  }

  /** Returns a UUIDv7: 48 bits of milliseconds since the epoch, followed by random bits. */
  private _createUuidV7 (): string {
    const time = Date.now().toString(16).padStart(12, '0')
    const random = Array.from({ length: 5 }, () => this._random.below(0x10000).toString(16).padStart(4, '0'))
    return `${time.slice(0, 8)}-${time.slice(8)}-7${random[0]?.slice(1)}-8${random[1]?.slice(1)}-${random[2]}${random[3]}${random[4]}`
  }

  private async _measureRepeatable (fleet: Fleet, calls: number): Promise<{ medianMs: number, failed: number }> {
    const agent = new Agent({ connections: 16 })
    const latencies: number[] = []
    let failed = 0
    for (let call = 0; call < calls; call += 1) {
      const startedAt = performance.now()
      try {
        const response = await request(`http://${fleet.callerAddress(call % ROUTERS)}/services/lists/x`, {
          dispatcher: agent, method: 'POST', headers: { 'mimosarock-workspace': 'alpha' }, body: 'list'
        })
        await response.body.dump()
        if (response.statusCode === 200) latencies.push(performance.now() - startedAt)
        else failed += 1
      } catch {
        failed += 1
      }
      await sleep(REPEATABLE_PAUSE_MS)
    }
    await agent.destroy()
    return { medianMs: median(latencies), failed }
  }

  /** Measures repeatable calls during an outage of the log, and the time in which each router refuses a keyed call. */
  private async _measureLogDown (fleet: Fleet): Promise<{ medianMs: number, failed: number, calls: number, refusalWorstMs: number }> {
    fleet.log.startOutage()
    const outageEndsAt = performance.now() + LOG_DOWN_MS
    const refusals = Promise.all(fleet.routers.map(async (router) => {
      const startedAt = performance.now()
      const response = await request(`http://${router.addresses.callers}/services/payments/refused`, {
        method: 'POST', headers: { 'mimosarock-workspace': 'alpha', 'idempotency-key': this._createUuidV7() }, body: 'x'
      })
      const problem = await response.body.json() as { run?: string }
      return problem.run === 'not-run' && response.headers['retry-after'] !== undefined ? performance.now() - startedAt : Infinity
    }))
    const calls = Math.floor(LOG_DOWN_MS / (REPEATABLE_PAUSE_MS + 5))
    const { medianMs, failed } = await this._measureRepeatable(fleet, calls)
    const refusalWorstMs = Math.max(...await refusals)
    await sleep(Math.max(0, outageEndsAt - performance.now()))
    fleet.log.endOutage()
    return { medianMs, failed, calls, refusalWorstMs }
  }

  private _checkOutcomes (fleet: Fleet, progress: (text: string) => void, responseDeadline: number): Pick<OperationsResult, 'ran_twice' | 'false_not_run' | 'lost' | 'in_doubt_unlisted' | 'wrong_or_short_answers' | 'answered_share'> {
    const administration = fleet.routers[0]?.process.components.ledger.administration
    if (administration === undefined) throw new Error('the fleet has no router')
    const listed = new Set(administration.list('', OperationState.UNSPECIFIED, LIST_LIMIT).map((operation) => operation.key))
    const runCount = (key: string): number => fleet.services.reduce((sum, service) => sum + service.runsOf(key), 0)
    const ranCallIds = (key: string): Set<string> => new Set(fleet.services.flatMap((service) => service.callIdsOf(key)))
    const count = (name: string, matches: (outcome: KeyedOutcome) => boolean): number => {
      const found = this._outcomes.filter(matches)
      for (const outcome of found.slice(0, 3)) {
        const record = administration.get('alpha', outcome.key)
        progress(`${name}: ${outcome.key} runs ${runCount(outcome.key)} state ${record?.state} calls ${outcome.callIds.length} code ${outcome.lastCode}`)
      }
      return found.length
    }
    const answered = this._outcomes.filter((outcome) => outcome.doneAt !== undefined && outcome.doneAt <= responseDeadline)
    count('unanswered', (outcome) => outcome.doneAt === undefined)
    return {
      ran_twice: count('ran twice', (outcome) => runCount(outcome.key) > 1),
      false_not_run: count('false not run', (outcome) => outcome.notRunCallIds.some((callId) => ranCallIds(outcome.key).has(callId))),
      lost: count('lost', (outcome) => outcome.doneAt !== undefined && runCount(outcome.key) === 0),
      in_doubt_unlisted: count('unlisted', (outcome) => {
        if (outcome.doneAt !== undefined || listed.has(outcome.key)) return false
        const state = administration.get('alpha', outcome.key)?.state
        return runCount(outcome.key) > 0 ? state !== OperationState.ANSWERED : state === OperationState.IN_DOUBT || state === OperationState.IN_PROGRESS
      }),
      wrong_or_short_answers: count('wrong answer', (outcome) => outcome.hasWrongResponse),
      answered_share: Math.floor(answered.length / this._outcomes.length * 100_000) / 100_000
    }
  }
}

function median (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? NaN
}

function round (value: number): number {
  return Math.round(value * 10) / 10
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}
