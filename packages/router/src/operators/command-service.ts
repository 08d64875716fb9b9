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

/**
 * Implements the operators' command service. A rejected command returns a response with a result code. Every command
 * is recorded in the audit trail, including rejected ones.
 */
export class CommandService implements ServiceImpl<typeof CommandServiceDescription> {
  private readonly _options: CommandServiceOptions

  /**
   * @param options configuration commands, operations and the audit trail
   */
  constructor (options: CommandServiceOptions) {
    this._options = options
  }

  /**
   * Applies edits to the configuration.
   * @param request the edits and the revision that they are based on
   * @param context provides the authenticated operator
   */
  async changeConfiguration (request: ChangeConfigurationRequest, context: HandlerContext): Promise<ChangeConfigurationResponse> {
    const { changeId, basedOnRevision, edits, dryRun } = request
    const actor = context.values.get(OPERATOR_ACTOR)
    const change = create(ConfigurationChangeSchema, { changeId, basedOnRevision, edits, actor })
    return await this._options.configurationCommands.submit(change, dryRun)
  }

  /**
   * Creates a new revision with the content of an earlier one.
   * @param request the earlier revision and the revision that the command is based on
   * @param context provides the authenticated operator
   */
  async rollBackConfiguration (request: RollBackConfigurationRequest, context: HandlerContext): Promise<ChangeConfigurationResponse> {
    const { changeId, basedOnRevision, rollbackToRevision } = request
    const actor = context.values.get(OPERATOR_ACTOR)
    const change = create(ConfigurationChangeSchema, { changeId, basedOnRevision, rollbackToRevision, actor })
    return await this._options.configurationCommands.submit(change, false)
  }

  /**
   * Submits a complete configuration to a fleet that has lost its configuration.
   * @param request the configuration and the highest revision that any operator has seen
   * @param context provides the authenticated operator
   */
  async recoverConfiguration (request: RecoverConfigurationRequest, context: HandlerContext): Promise<ChangeConfigurationResponse> {
    return await this._options.configurationCommands.recover(request, context.values.get(OPERATOR_ACTOR))
  }

  /**
   * Settles an operation that is in progress or in doubt.
   * @param request the operation and the operator's decision
   * @param context provides the authenticated operator
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
    this._options.auditTrail.record({
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
