import { create } from '@bufbuild/protobuf'
import type { ChangeConfigurationResponse, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationEditSchema, WorkspaceSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { createOperatorClient } from '@mimosarock/operator/create-operator-client.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { SeededRandom } from '@mimosarock/stand-ins/seeded-random.js'
import type { Fleet } from '../fleet/fleet.js'

const MAXIMUM_ATTEMPTS = 20
const RETRY_MS = 200
const WORKSPACES = 10
const MAXIMUM_PRIORITY = 9

/** Load of operators that change the configuration through random routers and sometimes race each other. */
export class ChangeLoad {
  /** Changes accepted. */
  accepted = 0
  /** Changes refused with a final result code. */
  refused = 0
  /** Attempts that ended in an error, a lost response or a result code that is not final. */
  retries = 0
  /** Races in which more than one operator received the result that its change was accepted. */
  multipleWinners = 0
  private readonly _fleet: Fleet
  private readonly _random: SeededRandom
  private _changesSent = 0

  /**
   * @param fleet fleet whose configuration changes
   * @param random source of the changes and of the router that receives each attempt
   */
  constructor (fleet: Fleet, random: SeededRandom) {
    this._fleet = fleet
    this._random = random
  }

  /**
   * Submits changes one after another. Every third one is a race of two operators who change the same revision.
   * @param count number of changes, where a race counts as one
   * @param pauseMs pause after each change, in milliseconds
   */
  async run (count: number, pauseMs: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const operators = index % 3 === 2 ? 2 : 1
      const revision = this._newestRevision()
      const responses = await Promise.all(Array.from({ length: operators }, async () => await this.change(revision, [this._randomEdit()])))
      const winners = responses.filter((response) => response?.code === ResultCode.OK)
      if (winners.length > 1) this.multipleWinners += 1
      await new Promise((resolve) => setTimeout(resolve, pauseMs))
    }
  }

  /**
   * Submits one change. Retries under the same change id, each time through a random router, until the result is
   * final, for at most 20 attempts.
   * @param baseRevision revision that the change is based on
   * @param edits edits of the change
   * @returns the final response; undefined if no attempt received one
   */
  async change (baseRevision: number, edits: ConfigurationEdit[]): Promise<ChangeConfigurationResponse | undefined> {
    this._changesSent += 1
    const changeId = `change-${this._changesSent}`
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const response = await this._send(changeId, baseRevision, edits)
      if (response !== undefined && isFinal(response.code)) {
        if (response.code === ResultCode.OK) this.accepted += 1
        else this.refused += 1
        return response
      }
      this.retries += 1
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS))
    }
    return undefined
  }

  private async _send (changeId: string, baseRevision: number, edits: ConfigurationEdit[]): Promise<ChangeConfigurationResponse | undefined> {
    const router = this._fleet.routers[this._random.below(this._fleet.routers.length)]
    if (router === undefined) return undefined
    const client = createOperatorClient({ url: `http://${router.addresses.operators}` })
    try {
      return await client.commands.changeConfiguration({ changeId, basedOnRevision: BigInt(baseRevision), edits })
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
