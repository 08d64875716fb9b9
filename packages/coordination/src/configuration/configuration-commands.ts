import { create } from '@bufbuild/protobuf'
import type {
  Actor, ChangeConfigurationResponse, ChangeResult, ConfigurationChange, RecoverConfigurationRequest
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ChangeConfigurationResponseSchema, LogEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { ChangeOutcome } from './change-outcome.js'
import type { ConfigurationCommandsOptions } from './configuration-commands-options.js'
import { recoveryCheckpoint } from './recovery-checkpoint.js'

/** Longest wait for a change to be read back. */
const APPEND_TIMEOUT_MS = 5_000
/** Longest wait for a revision that the operator has seen elsewhere and this router has not. */
const CATCH_UP_TIMEOUT_MS = 2_000

/** Operators' commands on the configuration. Each is answered once its record was read back. */
export class ConfigurationCommands {
  private readonly _options: ConfigurationCommandsOptions

  /**
   * @param options what the commands work with
   */
  constructor (options: ConfigurationCommandsOptions) {
    this._options = options
  }

  /**
   * Submits a change. A change id that was folded gets its first result.
   * @param change the change, with its id and actor
   * @param dryRun whether only to tell what it would do
   */
  async submit (change: ConfigurationChange, dryRun: boolean): Promise<ChangeConfigurationResponse> {
    const { configuration } = this._options
    const known = configuration.fold.resultOf(change.changeId)
    if (known !== undefined) return this._answerResult(known, change)
    if (!configuration.proven) return this._answerNotLoaded()
    if (change.changeId === '') return this._answer(ResultCode.CONFIGURATION_INVALID, 'the change has no id')
    await this._catchUp(Number(change.basedOnRevision))
    const outcome = configuration.fold.evaluate(change)
    if (dryRun) return this._answerOutcome(outcome)
    if (outcome.code !== ResultCode.OK) {
      this._auditRefusal(change, outcome)
      return this._answerOutcome(outcome)
    }
    return await this._append(change)
  }

  /**
   * Submits the whole configuration to a fleet that has lost it.
   * @param request the configuration and the highest revision that any operator has seen
   * @param actor who asks
   */
  async recover (request: RecoverConfigurationRequest, actor: Actor): Promise<ChangeConfigurationResponse> {
    const { replica, fold } = this._options.configuration
    if (!replica.truncated) {
      return this._answer(ResultCode.REVISION_CONFLICT, 'the configuration is not lost; change it by a command based on its revision')
    }
    const checkpoint = recoveryCheckpoint(request, actor, replica.oldestOffset, this._options.clock.wallNow())
    if (checkpoint.problems.length > 0) {
      return create(ChangeConfigurationResponseSchema, {
        code: ResultCode.CONFIGURATION_INVALID,
        detail: `${checkpoint.problems.length} invalid fields`,
        problems: [...checkpoint.problems]
      })
    }
    const refused = await this._tryAppend(create(LogEntrySchema, { kind: { case: 'checkpoint', value: checkpoint.checkpoint } }))
    if (refused !== undefined) return refused
    // Of two recoveries at once, the one at the lower offset is everybody's start.
    const won = fold.resultOf(checkpoint.checkpoint.checkpointId) !== undefined
    if (!won) return this._answer(ResultCode.REVISION_CONFLICT, 'another recovery won')
    return this._answer(ResultCode.OK, '')
  }

  private async _append (change: ConfigurationChange): Promise<ChangeConfigurationResponse> {
    const entry = create(LogEntrySchema, { kind: { case: 'configurationChange', value: change } })
    const refused = await this._tryAppend(entry)
    const result = this._options.configuration.fold.resultOf(change.changeId)
    if (result !== undefined) return this._answerResult(result, change)
    return refused ?? this._answer(ResultCode.CHANGE_OUTCOME_UNKNOWN, 'the change was read back without a result')
  }

  /** Appends an entry and gives the answer to a failure. */
  private async _tryAppend (entry: Parameters<ConfigurationCommandsOptions['appender']['append']>[0]): Promise<ChangeConfigurationResponse | undefined> {
    try {
      await this._options.appender.append(entry, APPEND_TIMEOUT_MS)
      return undefined
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      if (error.run === RunState.NOT_RUN) return this._answer(error.code, error.message)
      return this._answer(ResultCode.CHANGE_OUTCOME_UNKNOWN, 'the log service has not confirmed the change; send it again with the same change id')
    }
  }

  private async _catchUp (revision: number): Promise<void> {
    const { configuration, clock } = this._options
    if (revision <= configuration.fold.index.revision) return
    const arrived = new AbortController()
    const stop = configuration.onChange(() => {
      if (configuration.fold.index.revision >= revision) arrived.abort()
    })
    configuration.replica.readNow()
    await clock.sleep(CATCH_UP_TIMEOUT_MS, arrived.signal)
    stop()
  }

  private _auditRefusal (change: ConfigurationChange, outcome: ChangeOutcome): void {
    this._options.auditTrail.note({
      actor: change.actor,
      action: change.rollbackToRevision > 0n ? 'configuration.roll-back' : 'configuration.change',
      subject: 'configuration',
      before: `revision ${change.basedOnRevision}`,
      after: outcome.detail,
      code: outcome.code
    })
  }

  private _answerNotLoaded (): ChangeConfigurationResponse {
    const detail = this._options.configuration.replica.truncated
      ? 'the log holds neither all records nor a checkpoint, and no peer has the state'
      : 'this router has no configuration yet that is proved current'
    return this._answer(ResultCode.CONFIGURATION_NOT_LOADED, detail)
  }

  private _answerResult (result: ChangeResult, change: ConfigurationChange): ChangeConfigurationResponse {
    const response = create(ChangeConfigurationResponseSchema, {
      code: result.code,
      detail: result.detail,
      revision: result.revision,
      offset: result.offset
    })
    if (result.code !== ResultCode.REVISION_CONFLICT) return response
    const outcome = this._options.configuration.fold.evaluate(change)
    response.conflicting = outcome.code === ResultCode.REVISION_CONFLICT ? this._answerOutcome(outcome).conflicting : []
    return response
  }

  private _answerOutcome (outcome: ChangeOutcome): ChangeConfigurationResponse {
    const { revision, offset } = this._options.configuration.fold.index
    return create(ChangeConfigurationResponseSchema, {
      code: outcome.code,
      detail: outcome.detail,
      revision: BigInt(revision),
      offset: BigInt(offset),
      problems: [...outcome.problems],
      conflicting: outcome.code === ResultCode.REVISION_CONFLICT
        ? outcome.changes.map(({ subject, before, after }) => ({ subject, before, after }))
        : []
    })
  }

  private _answer (code: ResultCode, detail: string): ChangeConfigurationResponse {
    const { revision, offset } = this._options.configuration.fold.index
    return create(ChangeConfigurationResponseSchema, { code, detail, revision: BigInt(revision), offset: BigInt(offset) })
  }
}
