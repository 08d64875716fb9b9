import { create } from '@bufbuild/protobuf'
import { ConfigurationEditSchema, RetirementSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import { Fleet } from '../fleet/fleet.js'
import { waitUntil } from '../fleet/wait-until.js'
import { ChangeLoad } from './change-load.js'
import { ChatLoad } from './chat-load.js'
import { ControlTraffic } from './control-traffic.js'
import { watchLeaving } from './leaving-watch.js'
import { expireBeforeCheckpoint } from './expire-before-checkpoint.js'
import { LinkFaults } from './link-faults.js'
import { RevisionWatch } from './revision-watch.js'

const ENGINES = 6
const CHATS = 24
const LOG_OUTAGE_MS = 3_000
const SETTLE_MS = 3_500
const LEAVE_WATCH_MS = 4_000
const READY_BOUND_MS = 20_000
const CHANGE_PAUSE_MS = 100
/** Short enough for checkpoints in one run; they are written eight times in it. */
const LOG_RETENTION_MS = 400_000
const pause = async (ms: number): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, ms)) }

/** One run: a fleet over loopback, its load, and one fault after the other. */
export class ConfigurationTrial {
  private readonly _routers: number
  private readonly _progress: (text: string) => void
  private readonly _random: SeededRandom
  private readonly _faults: LinkFaults
  private readonly _watch = new RevisionWatch()
  private readonly _traffic = new ControlTraffic()
  private readonly _leaveMs: number[] = []
  private readonly _workBefore: number[] = []
  private readonly _counts = { lost_answers: 0, log_outages: 0, routers_cut_from_log: 0, disagreeing_vm_lists: 0, replaced_in_turn: 0, replaced_at_once: 0, expired_records: 0 }

  /**
   * @param seed seed of all random numbers
   * @param routers routers in the fleet
   * @param progress takes lines of progress
   */
  constructor (seed: number, routers: number, progress: (text: string) => void) {
    this._routers = routers
    this._progress = progress
    this._random = new SeededRandom(seed)
    this._faults = new LinkFaults(new SeededRandom(seed + 1))
  }

  /** Runs all phases. */
  async run (): Promise<object> {
    const fleet = await Fleet.start({
      routers: this._routers,
      engines: Array.from({ length: ENGINES }, () => ({ models: ['m'] })),
      platformOverHttp: true,
      settings: { platform: { log_retention_ms: LOG_RETENTION_MS } },
      processOptions: (routerId, own) => ({
        logService: this._faults.logService(routerId, own.logService),
        decorateMessenger: (messenger) => this._faults.messenger(messenger)
      })
    })
    for (const router of fleet.routers) this._watch.attach(router)
    const ended = new AbortController()
    const changes = new ChangeLoad(fleet, this._random)
    const chats = new ChatLoad(fleet)
    const tasks = [chats.run(CHATS, ended.signal), this._traffic.run(() => fleet.routers, ended.signal)]
    const phases: Array<[string, () => Promise<void>]> = [
      ['calm', async () => await changes.run(15, CHANGE_PAUSE_MS)],
      ['lost answers, links that delay and lose', async () => await this._lossyLinks(fleet, changes)],
      ['some routers cut from the log, VM lists disagree', async () => await this._cutRouters(fleet, changes)],
      ['log outage', async () => await this._logOutage(fleet, changes)],
      ['endpoints leave', async () => await this._leave(fleet, changes)],
      ['routers replaced in turn', async () => await this._replaceInTurn(fleet, changes)],
      ['routers replaced at once', async () => await this._replaceAtOnce(fleet, chats, changes)]
    ]
    for (const [name, phase] of phases) {
      const startedAt = performance.now()
      await phase()
      this._progress(`${name}: ${Math.round(performance.now() - startedAt)} ms, revision ${this._watch.newest}`)
    }
    await pause(SETTLE_MS)
    ended.abort()
    await Promise.all(tasks)
    await fleet.stop()
    return this._figures(changes, chats)
  }

  private async _lossyLinks (fleet: Fleet, changes: ChangeLoad): Promise<void> {
    this._faults.lostShare = 0.1
    this._faults.delayMs = 60
    fleet.log.faults.lostAnswerProbability = 0.3
    await changes.run(15, CHANGE_PAUSE_MS)
    this._counts.lost_answers = 1
    fleet.log.faults.lostAnswerProbability = 0
    await pause(SETTLE_MS)
    this._faults.lostShare = 0
    this._faults.delayMs = 0
  }

  private async _cutRouters (fleet: Fleet, changes: ChangeLoad): Promise<void> {
    const ids = fleet.routers.map((router) => router.process.id)
    const cut = ids.slice(0, Math.max(1, Math.floor(ids.length * 3 / 8)))
    for (const id of cut) this._faults.cutFromLog.add(id)
    ids.forEach((id, index) => fleet.vms.faults.hiddenFromClient.set(id, new Set([ids[(index + 1) % ids.length] ?? ''])))
    this._counts.routers_cut_from_log = cut.length
    this._counts.disagreeing_vm_lists = ids.length
    await changes.run(10, CHANGE_PAUSE_MS)
    await pause(SETTLE_MS)
    this._faults.cutFromLog.clear()
    fleet.vms.faults.hiddenFromClient.clear()
  }

  private async _logOutage (fleet: Fleet, changes: ChangeLoad): Promise<void> {
    fleet.log.startOutage()
    this._counts.log_outages += 1
    const during = changes.run(2, CHANGE_PAUSE_MS)
    await pause(LOG_OUTAGE_MS)
    fleet.log.endOutage()
    await during
    await changes.run(5, CHANGE_PAUSE_MS)
  }

  private async _leave (fleet: Fleet, changes: ChangeLoad): Promise<void> {
    for (const index of [0, 1]) {
      const value = create(RetirementSchema, { pool: 'chat', endpoint: `engine-${index}`, reason: 'bench' })
      const answer = await changes.change(this._watch.newest, [create(ConfigurationEditSchema, { kind: { case: 'setRetirement', value } })])
      const engine = fleet.engines[index]
      this._workBefore.push(engine?.counts.completions ?? 0)
      if (answer?.code !== 0 || engine === undefined) throw new Error('the retirement was refused')
      this._leaveMs.push(await watchLeaving(engine, LEAVE_WATCH_MS))
      await changes.change(this._watch.newest, [create(ConfigurationEditSchema, { kind: { case: 'removeRetirement', value } })])
    }
  }

  private async _replaceInTurn (fleet: Fleet, changes: ChangeLoad): Promise<void> {
    for (let index = 0; index < this._routers; index += 1) {
      await this._startRouter(fleet)
      const old = fleet.routers[0]
      if (old === undefined) throw new Error('no router to replace')
      this._watch.end(old.process.id)
      fleet.vms.remove(old.process.id)
      await Promise.all([fleet.stopRouter(0), changes.run(1, CHANGE_PAUSE_MS)])
      this._counts.replaced_in_turn += 1
    }
  }

  private async _replaceAtOnce (fleet: Fleet, chats: ChatLoad, changes: ChangeLoad): Promise<void> {
    const old = fleet.routers.map((router) => router.process.id)
    for (const id of old) {
      chats.killed.add(id)
      this._watch.end(id)
      fleet.vms.remove(id)
    }
    await Promise.all(old.map(async () => await fleet.killRouter(0)))
    this._counts.expired_records = expireBeforeCheckpoint(fleet.log)
    for (let index = 0; index < old.length; index += 1) await this._startRouter(fleet)
    this._counts.replaced_at_once = old.length
    await changes.run(5, CHANGE_PAUSE_MS)
  }

  private async _startRouter (fleet: Fleet): Promise<void> {
    const router = await fleet.startRouter()
    this._watch.attach(router)
    await waitUntil(() => router.process.reasonNotReady() === undefined, READY_BOUND_MS, 'new router ready')
  }

  private _figures (changes: ChangeLoad, chats: ChatLoad): object {
    const delays = this._watch.delays().sort((left, right) => left - right)
    const round = (value: number | undefined): number => Math.round((value ?? 0) * 10) / 10
    return {
      changes: changes.accepted,
      in_force_p50_ms: round(delays[Math.floor(delays.length / 2)]),
      in_force_worst_ms: round(delays.at(-1)),
      reverts: this._watch.reverts,
      split_winners: changes.splitWinners + this._watch.splitContents,
      cut_off_in_flight: chats.cutOff,
      new_work_after_leave_worst_ms: round(Math.max(...this._leaveMs)),
      stale_orders_accepted: null,
      control_bytes_per_second_worst: this._traffic.worst(),
      replaced_routers: this._counts.replaced_in_turn + this._counts.replaced_at_once,
      faults: { ...this._counts, lost_control_calls: this._faults.lostCalls, lost_with_killed_router: chats.lostWithRouter },
      refused_changes: changes.refused,
      repeated_commands: changes.repeated,
      chats_completed: chats.completed,
      chats_refused: chats.refused,
      work_before_leaving: this._workBefore
    }
  }
}
