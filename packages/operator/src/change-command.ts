import { randomUUID } from 'node:crypto'
import { create, toJson } from '@bufbuild/protobuf'
import { Option } from 'clipanion'
import type {
  ChangeConfigurationResponse, Configuration, ConfigurationEdit
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import {
  ChangeConfigurationRequestSchema, ChangeConfigurationResponseSchema, ConfigurationSchema
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { formatChange } from './format-change.js'
import type { OperatorClient } from './operator-client.js'
import { OperatorCommand } from './operator-command.js'
import { parseNumber } from './parse-number.js'

const DEFAULT_WAIT_MS = 10_000

/** What all commands share that change the configuration. */
export abstract class ChangeCommand extends OperatorCommand {
  basedOn = Option.String('--based-on', {
    description: 'Needed: revision that the change is based on; it is refused if the configuration has moved on.'
  })

  changeId = Option.String('--change-id', {
    description: 'Id of the change; repeat a command under the same id after a lost answer.'
  })

  dryRun = Option.Boolean('--dry-run', false, { description: 'Only tells whether the change would be accepted.' })

  waitMs = Option.String('--wait-ms', {
    description: `Longest wait until every live router has the change in force, in milliseconds; default ${DEFAULT_WAIT_MS}.`
  })

  /**
   * The edits that the command stands for.
   * @param current the newest configuration
   */
  protected abstract edits (current: Configuration): ConfigurationEdit[] | Promise<ConfigurationEdit[]>

  /**
   * Sends the change. Commands that do not consist of edits override it.
   * @param client clients of the router's services
   * @param changeId id of the change
   * @param basedOnRevision revision that it is based on
   */
  protected async send (client: OperatorClient, changeId: string, basedOnRevision: bigint): Promise<ChangeConfigurationResponse> {
    const newest = await client.queries.getConfiguration({})
    const edits = await this.edits(newest.configuration ?? create(ConfigurationSchema))
    return await client.commands.changeConfiguration(create(ChangeConfigurationRequestSchema, {
      changeId, basedOnRevision, edits, dryRun: this.dryRun
    }))
  }

  /**
   * Sends the change, waits until it is in force and prints revision and offset.
   * @param client clients of the router's services
   */
  protected override async run (client: OperatorClient): Promise<number> {
    const changeId = this.changeId ?? randomUUID()
    const basedOn = this._parseBasedOn()
    const response = await this.send(client, changeId, basedOn)
    const waitMs = parseNumber('--wait-ms', this.waitMs, DEFAULT_WAIT_MS)
    const accepted = response.code === ResultCode.OK
    const wait = accepted && !this.dryRun && waitMs > 0
      ? await client.queries.waitForRevision({ revision: response.revision, timeoutMs: waitMs })
      : undefined
    const routers = wait?.routers.length ?? 0
    const inForce = wait?.routers.filter((router) => router.revision >= response.revision).length ?? 0
    this.print(formatChange(response, changeId, this.dryRun, wait && `in force on ${inForce} of ${routers} routers`), {
      ...toJson(ChangeConfigurationResponseSchema, response, { alwaysEmitImplicit: true }) as object,
      changeId,
      ...(wait !== undefined && { inForceEverywhere: wait.inForceEverywhere, routersInForce: inForce, routers })
    })
    const unchanged = response.code === ResultCode.NOTHING_CHANGED
    return (accepted || unchanged) && wait?.inForceEverywhere !== false ? 0 : 1
  }

  private _parseBasedOn (): bigint {
    if (this.basedOn !== undefined) return BigInt(Math.trunc(parseNumber('--based-on', this.basedOn, 0)))
    throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, '--based-on REVISION is needed; `mimosarock configuration show` prints the revision', { field: '--based-on' })
  }
}
