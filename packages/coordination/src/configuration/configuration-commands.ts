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

/** Upper bound on the wait until an appended change has been applied by the local replica. */
const APPEND_TIMEOUT_MS = 5_000
/** Upper bound on the wait for a revision that the operator has seen at another router and this router has not read yet. */
const CATCH_UP_TIMEOUT_MS = 2_000

/** Runs operators' commands that change the configuration. A command that appends a record responds once the local replica has applied it. */
export class ConfigurationCommands {
  private readonly _options: ConfigurationCommandsOptions

  /**
   * @param options replica, appender, audit trail and clock
   */
  constructor (options: ConfigurationCommandsOptions) {
    this._options = options
  }

  /**
   * Submits a change. A change id whose result is stored already returns that result again.
   * @param change change with its id and actor
   * @param dryRun whether to only evaluate the change, without appending it
   */
  async submit (change: ConfigurationChange, dryRun: boolean): Promise<ChangeConfigurationResponse> {
    const { configuration } = this._options
    const previousResult = configuration.fold.resultOf(change.changeId)
    if (previousResult !== undefined) return this._resultResponse(previousResult, change)
    if (!configuration.proven) return this._notLoadedResponse()
    if (change.changeId === '') return this._createResponse(ResultCode.CONFIGURATION_INVALID, 'the change has no change id')
    await this._catchUp(Number(change.basedOnRevision))
    const outcome = configuration.fold.evaluate(change)
    if (dryRun) return this._outcomeResponse(outcome)
    if (outcome.code !== ResultCode.OK) {
      this._auditRejection(change, outcome)
      return this._outcomeResponse(outcome)
    }
    return await this._appendChange(change)
  }

  /**
   * Submits a complete configuration to a fleet that has lost its own.
   * @param request configuration, and the highest revision that any operator has seen
   * @param actor operator who submits it, for the audit trail
   */
  async recover (request: RecoverConfigurationRequest, actor: Actor): Promise<ChangeConfigurationResponse> {
    const { replica, fold } = this._options.configuration
    if (!replica.stateLost) {
      return this._createResponse(ResultCode.REVISION_CONFLICT, 'the configuration is not lost; change it by a command based on its revision')
    }
    const recovery = recoveryCheckpoint(request, actor, replica.oldestOffset, this._options.clock.wallNow())
    if (recovery.problems.length > 0) {
      return create(ChangeConfigurationResponseSchema, {
        code: ResultCode.CONFIGURATION_INVALID,
        detail: `${recovery.problems.length} invalid fields`,
        problems: [...recovery.problems]
      })
    }
    const failure = await this._appendEntry(create(LogEntrySchema, { kind: { case: 'checkpoint', value: recovery.checkpoint } }))
    if (failure !== undefined) return failure
    // Of two concurrent recoveries, every router starts from the one at the lower offset.
    const isApplied = fold.resultOf(recovery.checkpoint.checkpointId) !== undefined
    if (!isApplied) return this._createResponse(ResultCode.REVISION_CONFLICT, 'a concurrent recovery took effect first')
    return this._createResponse(ResultCode.OK, '')
  }

  private async _appendChange (change: ConfigurationChange): Promise<ChangeConfigurationResponse> {
    const entry = create(LogEntrySchema, { kind: { case: 'configurationChange', value: change } })
    const failure = await this._appendEntry(entry)
    const result = this._options.configuration.fold.resultOf(change.changeId)
    if (result !== undefined) return this._resultResponse(result, change)
    return failure ?? this._createResponse(ResultCode.CHANGE_OUTCOME_UNKNOWN, 'the change was appended, but the configuration has no result for it')
  }

  /** Appends an entry; returns the error response if that fails, otherwise undefined. */
  private async _appendEntry (entry: Parameters<ConfigurationCommandsOptions['appender']['append']>[0]): Promise<ChangeConfigurationResponse | undefined> {
    try {
      await this._options.appender.append(entry, APPEND_TIMEOUT_MS)
      return undefined
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      if (error.run === RunState.NOT_RUN) return this._createResponse(error.code, error.message)
      return this._createResponse(ResultCode.CHANGE_OUTCOME_UNKNOWN, 'the log service has not confirmed the change; send it again with the same change id')
    }
  }

  private async _catchUp (revision: number): Promise<void> {
    const { configuration, clock } = this._options
    if (revision <= configuration.fold.index.revision) return
    const caughtUp = new AbortController()
    const unsubscribe = configuration.onChange(() => {
      if (configuration.fold.index.revision >= revision) caughtUp.abort()
    })
    configuration.replica.readNow()
    await clock.sleep(CATCH_UP_TIMEOUT_MS, caughtUp.signal)
    unsubscribe()
  }

  private _auditRejection (change: ConfigurationChange, outcome: ChangeOutcome): void {
    this._options.auditTrail.record({
      actor: change.actor,
      action: change.rollbackToRevision > 0n ? 'configuration.roll-back' : 'configuration.change',
      subject: 'configuration',
      before: `revision ${change.basedOnRevision}`,
      after: outcome.detail,
      code: outcome.code
    })
  }

  private _notLoadedResponse (): ChangeConfigurationResponse {
    const detail = this._options.configuration.replica.stateLost
      ? 'the log holds neither all records nor a checkpoint, and no peer has provided the state'
      : 'this router has no configuration yet that is proved current'
    return this._createResponse(ResultCode.CONFIGURATION_NOT_LOADED, detail)
  }

  private _resultResponse (result: ChangeResult, change: ConfigurationChange): ChangeConfigurationResponse {
    const response = create(ChangeConfigurationResponseSchema, {
      code: result.code,
      detail: result.detail,
      revision: result.revision,
      offset: result.offset
    })
    if (result.code !== ResultCode.REVISION_CONFLICT) return response
    const outcome = this._options.configuration.fold.evaluate(change)
    response.conflicting = outcome.code === ResultCode.REVISION_CONFLICT ? this._outcomeResponse(outcome).conflicting : []
    return response
  }

  private _outcomeResponse (outcome: ChangeOutcome): ChangeConfigurationResponse {
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

  private _createResponse (code: ResultCode, detail: string): ChangeConfigurationResponse {
    const { revision, offset } = this._options.configuration.fold.index
    return create(ChangeConfigurationResponseSchema, { code, detail, revision: BigInt(revision), offset: BigInt(offset) })
  }
}
