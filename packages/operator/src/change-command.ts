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

/** Base class of the commands that change the configuration. */
export abstract class ChangeCommand extends OperatorCommand {
  basedOn = Option.String('--based-on', {
    description: 'Required: revision that the change is based on; the change is rejected if the configuration has a newer revision.'
  })

  changeId = Option.String('--change-id', {
    description: 'Id of the change; to retry a command after a lost response, repeat it with the same id.'
  })

  dryRun = Option.Boolean('--dry-run', false, { description: 'Validates the change without applying it.' })

  waitMs = Option.String('--wait-ms', {
    description: `Maximum wait until the change is in force on every live router, in milliseconds; 0 disables the wait; default ${DEFAULT_WAIT_MS}.`
  })

  /**
   * Returns the edits that make up the change.
   * @param current newest configuration known to the router
   */
  protected abstract edits (current: Configuration): ConfigurationEdit[] | Promise<ConfigurationEdit[]>

  /**
   * Sends the change to the router. Commands whose change is not a list of edits override this method.
   * @param client clients of the router's operator services
   * @param changeId id that makes a repeated change idempotent
   * @param basedOnRevision revision that the change is based on
   */
  protected async send (client: OperatorClient, changeId: string, basedOnRevision: bigint): Promise<ChangeConfigurationResponse> {
    const newest = await client.queries.getConfiguration({})
    const edits = await this.edits(newest.configuration ?? create(ConfigurationSchema))
    return await client.commands.changeConfiguration(create(ChangeConfigurationRequestSchema, {
      changeId, basedOnRevision, edits, dryRun: this.dryRun
    }))
  }

  /**
   * Sends the change, waits until it is in force on every live router, and prints its revision and offset, or why it was
   * rejected.
   * @param client clients of the router's operator services
   * @returns 0 if the change is in force on every live router, if it was accepted without a wait, or if the
   * configuration needed no change; else 1
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
    throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, '--based-on REVISION is required; `mimosarock configuration show` prints the revision', { field: '--based-on' })
  }
}
