import type { HandlerContext, ServiceImpl } from '@connectrpc/connect'
import { create } from '@bufbuild/protobuf'
import type {
  ChangeConfigurationRequest, ChangeConfigurationResponse, RecoverConfigurationRequest, RollBackConfigurationRequest,
  SettleOperationRequest, SettleOperationResponse
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import {
  CommandService as CommandServiceDescription, ConfigurationChangeSchema, OperationSettlementSchema, OperationState, SettleOperationResponseSchema
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { CommandServiceOptions } from './command-service-options.js'
import { OPERATOR_ACTOR } from './operator-actor.js'

/** Operators' commands. Refusals are answers with a code; each command is in the audit trail, refused ones too. */
export class CommandService implements ServiceImpl<typeof CommandServiceDescription> {
  private readonly _options: CommandServiceOptions

  /**
   * @param options what the service works with
   */
  constructor (options: CommandServiceOptions) {
    this._options = options
  }

  /**
   * Changes parts of the configuration.
   * @param request the edits and the revision that they are based on
   * @param context who asks
   */
  async changeConfiguration (request: ChangeConfigurationRequest, context: HandlerContext): Promise<ChangeConfigurationResponse> {
    const { changeId, basedOnRevision, edits, dryRun } = request
    const actor = context.values.get(OPERATOR_ACTOR)
    const change = create(ConfigurationChangeSchema, { changeId, basedOnRevision, edits, actor })
    return await this._options.configurationCommands.submit(change, dryRun)
  }

  /**
   * Makes the content of an earlier revision the newest one.
   * @param request the earlier revision and the one that the command is based on
   * @param context who asks
   */
  async rollBackConfiguration (request: RollBackConfigurationRequest, context: HandlerContext): Promise<ChangeConfigurationResponse> {
    const { changeId, basedOnRevision, rollbackToRevision } = request
    const actor = context.values.get(OPERATOR_ACTOR)
    const change = create(ConfigurationChangeSchema, { changeId, basedOnRevision, rollbackToRevision, actor })
    return await this._options.configurationCommands.submit(change, false)
  }

  /**
   * Submits the whole configuration to a fleet that has lost it.
   * @param request the configuration and the highest revision that any operator has seen
   * @param context who asks
   */
  async recoverConfiguration (request: RecoverConfigurationRequest, context: HandlerContext): Promise<ChangeConfigurationResponse> {
    return await this._options.configurationCommands.recover(request, context.values.get(OPERATOR_ACTOR))
  }

  /**
   * Settles an operation in doubt.
   * @param request the operation and the operator's decision
   * @param context who asks
   */
  async settleOperation (request: SettleOperationRequest, context: HandlerContext): Promise<SettleOperationResponse> {
    const actor = context.values.get(OPERATOR_ACTOR)
    const settlement = create(OperationSettlementSchema, {
      workspace: request.workspace,
      key: request.key,
      state: request.state,
      reason: request.reason,
      actor
    })
    const response = create(SettleOperationResponseSchema)
    const before = this._options.operations.get(request.workspace, request.key)
    try {
      response.offset = BigInt(await this._options.operations.settle(settlement))
    } catch (error) {
      if (!(error instanceof MimosarockError)) throw error
      response.code = error.code
      response.detail = error.message
    }
    this._options.auditTrail.note({
      actor,
      action: 'operation.settle',
      subject: `operation/${request.key}`,
      before: before === undefined ? '' : OperationState[before.state],
      after: `${OperationState[request.state]} ${request.reason}`.trim(),
      code: response.code === 0 ? ResultCode.OK : response.code,
      workspace: request.workspace
    })
    return response
  }
}
