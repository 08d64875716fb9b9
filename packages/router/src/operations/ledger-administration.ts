import { create } from '@bufbuild/protobuf'
import type { OperationRecord, OperationSettlement } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ActorSchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { OperationAdministration } from '../operators/operation-administration.js'
import type { LedgerAdministrationOptions } from './ledger-administration-options.js'
import { maximumRunTimeMs } from './maximum-run-time.js'

/** Lets operators query and settle operations in all partitions of the ledger. */
export class LedgerAdministration implements OperationAdministration {
  private readonly _options: LedgerAdministrationOptions

  /**
   * @param options ledger partitions and configuration
   */
  constructor (options: LedgerAdministrationOptions) {
    this._options = options
  }

  /**
   * Lists operations, those with the newest intent first.
   * @param workspace name of the workspace; empty for all workspaces
   * @param state state to filter by; UNSPECIFIED selects operations in progress or in doubt
   * @param limit maximum number of operations
   */
  list (workspace: string, state: OperationState, limit: number): readonly OperationRecord[] {
    const found = this._options.partitions.partitions.flatMap((partition) => partition.ledger.list(workspace, state, Infinity))
    return found.sort((left, right) => Number(right.intentAtMs - left.intentAtMs)).slice(0, limit)
  }

  /**
   * Returns one operation.
   * @param workspace name of the workspace
   * @param key Idempotency-Key of the operation
   * @returns undefined if the ledger has no such operation
   */
  get (workspace: string, key: string): OperationRecord | undefined {
    return this._options.partitions.ledgerFor(workspace, key).get(workspace, key)
  }

  /**
   * Settles an operation in progress or in doubt and resolves once the settlement has been read back from the log.
   * @param settlement the operator's decision; an empty attempt id means the current attempt
   * @returns offset of the settlement's log record
   * @throws {MimosarockError} OPERATION_UNKNOWN, SETTLEMENT_REFUSED or LOG_UNAVAILABLE
   */
  async settle (settlement: OperationSettlement): Promise<number> {
    const { workspace, key, state, actor, reason, attemptId } = settlement
    const operation = this.get(workspace, key)
    if (operation === undefined) {
      throw new MimosarockError(ResultCode.OPERATION_UNKNOWN, `workspace ${workspace} has no operation ${key}`, { field: 'key' })
    }
    const target = attemptId === '' ? operation : { ...operation, attemptId }
    const runTimeMs = maximumRunTimeMs(this._options.configuration, operation.route)
    const ledger = this._options.partitions.ledgerFor(workspace, key)
    return await ledger.settle(target, state, actor ?? create(ActorSchema), reason, runTimeMs)
  }
}
