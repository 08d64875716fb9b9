import { create } from '@bufbuild/protobuf'
import { ConfigurationEditSchema, RetirementSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import { Fleet } from '../fleet/fleet.js'
import { waitUntil } from '../fleet/wait-until.js'
import { ChangeLoad } from './change-load.js'
import { ChatLoad } from './chat-load.js'
import { ControlTraffic } from './control-traffic.js'
import { measureLastRequestMs } from './measure-last-request-ms.js'
import { expireBeforeCheckpoint } from './expire-before-checkpoint.js'
import { LinkFaults } from './link-faults.js'
import { RevisionTracker } from './revision-tracker.js'

const ENGINES = 6
const CHATS = 24
const LOG_OUTAGE_MS = 3_000
const SETTLE_MS = 3_500
const RETIREMENT_WATCH_MS = 4_000
const READY_TIMEOUT_MS = 20_000
const CHANGE_PAUSE_MS = 100
/** Short enough that one run sees checkpoints, which are written eight times per retention period. */
const LOG_RETENTION_MS = 400_000
const pause = async (ms: number): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, ms)) }

/** Runs a fleet over loopback under load and injects one kind of fault after another. */
export class ConfigurationTrial {
  private readonly _routers: number
  private readonly _progress: (text: string) => void
  private readonly _random: SeededRandom
  private readonly _faults: LinkFaults
  private readonly _revisions = new RevisionTracker()
  private readonly _traffic = new ControlTraffic()
  private readonly _lastRequestMs: number[] = []
  private readonly _completionsBeforeRetirement: number[] = []
  private readonly _counts = { lost_answers: 0, log_outages: 0, routers_cut_from_log: 0, disagreeing_vm_lists: 0, replaced_in_turn: 0, replaced_at_once: 0, expired_records: 0 }

  /**
   * @param seed seed of all random numbers
   * @param routers number of routers in the fleet
   * @param progress called with each progress line
   */
  constructor (seed: number, routers: number, progress: (text: string) => void) {
    this._routers = routers
    this._progress = progress
    this._random = new SeededRandom(seed)
    this._faults = new LinkFaults(new SeededRandom(seed + 1))
  }

  /**
   * Runs all phases.
   * @returns the figures, as an object that can be encoded as JSON
   */
  async run (): Promise<object> {
    const fleet = await Fleet.start({
      routers: this._routers,
      engines: Array.from({ length: ENGINES }, () => ({ models: ['m'] })),
      platformOverHttp: true,
      settings: { platform: { log_retention_ms: LOG_RETENTION_MS } },
      processOptions: (routerId, defaults) => ({
        logService: this._faults.wrapLogService(routerId, defaults.logService),
        decorateMessenger: (messenger) => this._faults.wrapMessenger(messenger)
      })
    })
    for (const router of fleet.routers) this._revisions.track(router)
    const stopController = new AbortController()
    const changes = new ChangeLoad(fleet, this._random)
    const chats = new ChatLoad(fleet)
    const tasks = [chats.run(CHATS, stopController.signal), this._traffic.run(() => fleet.routers, stopController.signal)]
    const phases: Array<[string, () => Promise<void>]> = [
      ['no faults', async () => await changes.run(15, CHANGE_PAUSE_MS)],
      ['lost log responses, links with delay and loss', async () => await this._lossyLinks(fleet, changes)],
      ['some routers partitioned from the log service, VM lists disagree', async () => await this._partitionRouters(fleet, changes)],
      ['log service outage', async () => await this._logOutage(fleet, changes)],
      ['endpoints retired', async () => await this._retireEndpoints(fleet, changes)],
      ['routers replaced in turn', async () => await this._replaceInTurn(fleet, changes)],
      ['routers replaced at once', async () => await this._replaceAtOnce(fleet, chats, changes)]
    ]
    for (const [name, phase] of phases) {
      const startedAt = performance.now()
      await phase()
      this._progress(`${name}: ${Math.round(performance.now() - startedAt)} ms, revision ${this._revisions.newestRevision}`)
    }
    await pause(SETTLE_MS)
    stopController.abort()
    await Promise.all(tasks)
    await fleet.stop()
    return this._figures(changes, chats)
  }

  private async _lossyLinks (fleet: Fleet, changes: ChangeLoad): Promise<void> {
    this._faults.lossRate = 0.1
    this._faults.maximumDelayMs = 60
    fleet.log.faults.lostAnswerProbability = 0.3
    await changes.run(15, CHANGE_PAUSE_MS)
    this._counts.lost_answers = 1
    fleet.log.faults.lostAnswerProbability = 0
    await pause(SETTLE_MS)
    this._faults.lossRate = 0
    this._faults.maximumDelayMs = 0
  }

  private async _partitionRouters (fleet: Fleet, changes: ChangeLoad): Promise<void> {
    const ids = fleet.routers.map((router) => router.process.id)
    const partitioned = ids.slice(0, Math.max(1, Math.floor(ids.length * 3 / 8)))
    for (const id of partitioned) this._faults.partitionedFromLog.add(id)
    ids.forEach((id, index) => fleet.vms.faults.hiddenFromClient.set(id, new Set([ids[(index + 1) % ids.length] ?? ''])))
    this._counts.routers_cut_from_log = partitioned.length
    this._counts.disagreeing_vm_lists = ids.length
    await changes.run(10, CHANGE_PAUSE_MS)
    await pause(SETTLE_MS)
    this._faults.partitionedFromLog.clear()
    fleet.vms.faults.hiddenFromClient.clear()
  }

  private async _logOutage (fleet: Fleet, changes: ChangeLoad): Promise<void> {
    fleet.log.startOutage()
    this._counts.log_outages += 1
    const changesDuringOutage = changes.run(2, CHANGE_PAUSE_MS)
    await pause(LOG_OUTAGE_MS)
    fleet.log.endOutage()
    await changesDuringOutage
    await changes.run(5, CHANGE_PAUSE_MS)
  }

  private async _retireEndpoints (fleet: Fleet, changes: ChangeLoad): Promise<void> {
    for (const index of [0, 1]) {
      const value = create(RetirementSchema, { pool: 'chat', endpoint: `engine-${index}`, reason: 'bench' })
      const response = await changes.change(this._revisions.newestRevision, [create(ConfigurationEditSchema, { kind: { case: 'setRetirement', value } })])
      const engine = fleet.engines[index]
      this._completionsBeforeRetirement.push(engine?.counts.completions ?? 0)
      if (response?.code !== 0 || engine === undefined) throw new Error('the retirement was refused')
      this._lastRequestMs.push(await measureLastRequestMs(engine, RETIREMENT_WATCH_MS))
      await changes.change(this._revisions.newestRevision, [create(ConfigurationEditSchema, { kind: { case: 'removeRetirement', value } })])
    }
  }

  private async _replaceInTurn (fleet: Fleet, changes: ChangeLoad): Promise<void> {
    for (let index = 0; index < this._routers; index += 1) {
      await this._startRouter(fleet)
      const replaced = fleet.routers[0]
      if (replaced === undefined) throw new Error('no router to replace')
      this._revisions.stopTracking(replaced.process.id)
      fleet.vms.remove(replaced.process.id)
      await Promise.all([fleet.stopRouter(0), changes.run(1, CHANGE_PAUSE_MS)])
      this._counts.replaced_in_turn += 1
    }
  }

  private async _replaceAtOnce (fleet: Fleet, chats: ChatLoad, changes: ChangeLoad): Promise<void> {
    const replacedIds = fleet.routers.map((router) => router.process.id)
    for (const id of replacedIds) {
      chats.killedRouters.add(id)
      this._revisions.stopTracking(id)
      fleet.vms.remove(id)
    }
    await Promise.all(replacedIds.map(async () => await fleet.killRouter(0)))
    this._counts.expired_records = expireBeforeCheckpoint(fleet.log)
    for (let index = 0; index < replacedIds.length; index += 1) await this._startRouter(fleet)
    this._counts.replaced_at_once = replacedIds.length
    await changes.run(5, CHANGE_PAUSE_MS)
  }

  private async _startRouter (fleet: Fleet): Promise<void> {
    const router = await fleet.startRouter()
    this._revisions.track(router)
    await waitUntil(() => router.process.reasonNotReady() === undefined, READY_TIMEOUT_MS, 'the new router to become ready')
  }

  private _figures (changes: ChangeLoad, chats: ChatLoad): object {
    const delays = this._revisions.delays().sort((left, right) => left - right)
    const round = (value: number | undefined): number => Math.round((value ?? 0) * 10) / 10
    return {
      changes: changes.accepted,
      in_force_p50_ms: round(delays[Math.floor(delays.length / 2)]),
      in_force_worst_ms: round(delays.at(-1)),
      reverts: this._revisions.reverts,
      split_winners: changes.multipleWinners + this._revisions.conflictingContents,
      cut_off_in_flight: chats.cutOff,
      new_work_after_leave_worst_ms: round(Math.max(...this._lastRequestMs)),
      stale_orders_accepted: null,
      control_bytes_per_second_worst: this._traffic.maximumBytesPerSecond(),
      replaced_routers: this._counts.replaced_in_turn + this._counts.replaced_at_once,
      faults: { ...this._counts, lost_control_calls: this._faults.lostCalls, lost_with_killed_router: chats.lostWithRouter },
      refused_changes: changes.refused,
      repeated_commands: changes.retries,
      chats_completed: chats.completed,
      chats_refused: chats.refused,
      work_before_leaving: this._completionsBeforeRetirement
    }
  }
}
