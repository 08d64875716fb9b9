import { create } from '@bufbuild/protobuf'
import type { ChangeConfigurationResponse, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, WorkspaceSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { createOperatorClient } from '@mimosarock/operator/create-operator-client.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { Fleet } from '../fleet/fleet.js'

const MAXIMUM_TRIES = 20
const RETRY_MS = 200
const WORKSPACES = 10
const MAXIMUM_PRIORITY = 9

/** Operators that change the configuration through random routers, now and then racing each other. */
export class ChangeLoad {
  accepted = 0
  refused = 0
  /** Commands sent again under the same id after an error or a lost answer. */
  repeated = 0
  /** Races in which both operators were told that they had won, or a repeated command got another result. */
  splitWinners = 0
  private readonly _fleet: Fleet
  private readonly _random: SeededRandom
  private _changes = 0

  /**
   * @param fleet the routers
   * @param random decides what is changed where
   */
  constructor (fleet: Fleet, random: SeededRandom) {
    this._fleet = fleet
    this._random = random
  }

  /**
   * Makes changes, every third one as a race of two operators.
   * @param count changes
   * @param pauseMs pause after each, in milliseconds
   */
  async run (count: number, pauseMs: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const racers = index % 3 === 2 ? 2 : 1
      const revision = this._newestRevision()
      const answers = await Promise.all(Array.from({ length: racers }, async () => await this.change(revision, [this._randomEdit()])))
      const winners = answers.filter((answer) => answer?.code === ResultCode.OK)
      if (winners.length > 1) this.splitWinners += 1
      await new Promise((resolve) => setTimeout(resolve, pauseMs))
    }
  }

  /**
   * Sends one change, again under the same id while its outcome is not known, each time through another router.
   * @param basedOn revision that it is based on
   * @param edits what to change
   * @returns undefined if no try was answered with a result
   */
  async change (basedOn: number, edits: ConfigurationEdit[]): Promise<ChangeConfigurationResponse | undefined> {
    this._changes += 1
    const changeId = `change-${this._changes}`
    for (let tries = 0; tries < MAXIMUM_TRIES; tries += 1) {
      const answer = await this._send(changeId, basedOn, edits)
      if (answer !== undefined && isFinal(answer.code)) {
        if (answer.code === ResultCode.OK) this.accepted += 1
        else this.refused += 1
        return answer
      }
      this.repeated += 1
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS))
    }
    return undefined
  }

  private async _send (changeId: string, basedOn: number, edits: ConfigurationEdit[]): Promise<ChangeConfigurationResponse | undefined> {
    const router = this._fleet.routers[this._random.below(this._fleet.routers.length)]
    if (router === undefined) return undefined
    const client = createOperatorClient({ url: `http://${router.addresses.operators}` })
    try {
      return await client.commands.changeConfiguration({ changeId, basedOnRevision: BigInt(basedOn), edits })
    } catch {
      return undefined
    }
  }

  private _newestRevision (): number {
    return Math.max(0, ...this._fleet.routers.map((router) => router.process.components.streams.configuration.current()?.revision ?? 0))
  }

  private _randomEdit (): ConfigurationEdit {
    const value = create(WorkspaceSchema, {
      name: `workspace-${this._random.below(WORKSPACES)}`,
      priority: this._random.below(MAXIMUM_PRIORITY + 1),
      weight: 1 + this._random.below(100)
    })
    return create(ConfigurationEditSchema, { kind: { case: 'setWorkspace', value } })
  }
}

function isFinal (code: number): boolean {
  return code === ResultCode.OK || code === ResultCode.REVISION_CONFLICT || code === ResultCode.NOTHING_CHANGED ||
    code === ResultCode.CONFIGURATION_INVALID
}
