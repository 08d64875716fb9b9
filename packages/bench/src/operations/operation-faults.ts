import type { PlainServiceStandIn } from '@mimosarock/stand-ins/plain-service-stand-in.js'
import type { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { Fleet } from '../fleet/fleet.js'
import type { FaultCounts } from './fault-counts.js'
import type { PauseGate } from './pause-gate.js'

const LOG_OUTAGE_MS = 250
const SLOW_LOG_DURATION_MS = 250
const LOG_DELAY_MS = 120
const LATE_APPEND_MS = 400
const RESPONSE_DELAY_MS = 150
const RESPONSE_DELAY_DURATION_MS = 200
/** Maximum time to wait for an open connection. */
const OPEN_CONNECTION_TIMEOUT_MS = 1_000
const MINIMUM_PAUSE_MS = 400
const MAXIMUM_PAUSE_MS = 1_500
/** Time for which the VM list still contains a router that was killed. */
const VM_LIST_LAG_MS = 500

/**
 * Injects every kind of fault once per round, at random times within the round. Skips the pause if the chosen router is
 * already paused, and the silent connection if none is open in time.
 */
export class OperationFaults {
  /** Number of faults injected so far. */
  readonly counts: FaultCounts = {
    killed_routers: 0,
    paused_routers: 0,
    lost_log_answers: 0,
    late_log_appends: 0,
    duplicated_log_appends: 0,
    slow_log: 0,
    stopped_log: 0,
    silent_connections: 0,
    silent_calls: 0,
    silent_answers: 0,
    lost_answers: 0,
    delayed_answers: 0
  }

  private readonly _fleet: Fleet
  private readonly _gates: ReadonlyMap<string, PauseGate>
  private readonly _random: SeededRandom

  /**
   * @param fleet routers, log and services to inject faults into
   * @param gates gates that pause the routers, by router id
   * @param random source of times and targets
   */
  constructor (fleet: Fleet, gates: ReadonlyMap<string, PauseGate>, random: SeededRandom) {
    this._fleet = fleet
    this._gates = gates
    this._random = random
  }

  /**
   * Injects faults for a number of rounds.
   * @param rounds number of rounds
   * @param roundMs minimum duration of a round, in milliseconds
   */
  async run (rounds: number, roundMs: number): Promise<void> {
    for (let round = 0; round < rounds; round += 1) {
      const injections = [
        () => this._killRouter(), () => this._pauseRouter(), () => this._slowLog(), () => this._stopLog(), () => this._loseLogResponse(),
        () => this._delayAppend(), () => this._duplicateAppend(), () => this._silenceConnection(), () => this._delayResponses(), () => this._injectServiceFaults()
      ]
      await Promise.all([sleep(roundMs), ...injections.map(async (inject) => {
        await sleep(this._random.below(roundMs * 0.7))
        await inject()
      })])
    }
  }

  private async _killRouter (): Promise<void> {
    const { routers, vms } = this._fleet
    const index = this._random.below(routers.length)
    const routerId = routers[index]?.process.id ?? ''
    await this._fleet.killRouter(index)
    this._gates.get(routerId)?.open()
    this.counts.killed_routers += 1
    await sleep(VM_LIST_LAG_MS)
    vms.remove(routerId)
    await this._fleet.startRouter()
  }

  private async _pauseRouter (): Promise<void> {
    const { routers } = this._fleet
    const gate = this._gates.get(routers[this._random.below(routers.length)]?.process.id ?? '')
    if (gate === undefined || gate.isClosed) return
    gate.close()
    this.counts.paused_routers += 1
    await sleep(MINIMUM_PAUSE_MS + this._random.below(MAXIMUM_PAUSE_MS - MINIMUM_PAUSE_MS))
    gate.open()
  }

  private async _slowLog (): Promise<void> {
    const { faults } = this._fleet.log
    faults.appendDelayMs = LOG_DELAY_MS
    faults.readDelayMs = LOG_DELAY_MS
    this.counts.slow_log += 1
    await sleep(SLOW_LOG_DURATION_MS)
    faults.appendDelayMs = 0
    faults.readDelayMs = 0
  }

  private async _stopLog (): Promise<void> {
    this._fleet.log.startOutage()
    this.counts.stopped_log += 1
    await sleep(LOG_OUTAGE_MS)
    this._fleet.log.endOutage()
  }

  private _loseLogResponse (): void {
    this._fleet.log.faults.lostAnswers += 1
    this.counts.lost_log_answers += 1
  }

  /** Delays the effect of the next append, so that later appends take effect before it. */
  private _delayAppend (): void {
    this._fleet.log.faults.lateAppendMs = LATE_APPEND_MS
    this._fleet.log.faults.lateAppends += 1
    this.counts.late_log_appends += 1
  }

  private _duplicateAppend (): void {
    this._fleet.log.faults.duplicatedAppends += 1
    this.counts.duplicated_log_appends += 1
  }

  /**
   * Silences the open connections of a service. Keyed calls use dedicated connections, which are open only while a call
   * is in flight, so the method waits until there is one.
   */
  private async _silenceConnection (): Promise<void> {
    const timeoutAt = performance.now() + OPEN_CONNECTION_TIMEOUT_MS
    while (performance.now() < timeoutAt) {
      if (this._chooseService().server.silenceConnections() > 0) {
        this.counts.silent_connections += 1
        return
      }
      await sleep(1)
    }
  }

  private async _delayResponses (): Promise<void> {
    const { faults } = this._chooseService()
    faults.delayMs = RESPONSE_DELAY_MS
    this.counts.delayed_answers += 1
    await sleep(RESPONSE_DELAY_DURATION_MS)
    faults.delayMs = 0
  }

  private _injectServiceFaults (): void {
    const { faults } = this._chooseService()
    faults.silentCalls += 1
    this.counts.silent_calls += 1
    faults.silentAnswers += 1
    this.counts.silent_answers += 1
    faults.lostAnswers += 1
    this.counts.lost_answers += 1
  }

  private _chooseService (): PlainServiceStandIn {
    const { services } = this._fleet
    const service = services[this._random.below(services.length)]
    if (service === undefined) throw new Error('the fleet has no services')
    return service
  }
}

async function sleep (ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms))
}
