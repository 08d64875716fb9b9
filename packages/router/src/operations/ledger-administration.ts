import { create } from '@bufbuild/protobuf'
import type { OperationRecord, OperationSettlement } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ActorSchema, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { OperationAdministration } from '../operators/operation-administration.js'
import type { LedgerAdministrationOptions } from './ledger-administration-options.js'
import { runBoundMs } from './run-bound.js'

/** Operators' queries and settlements over all partitions of the ledger. */
export class LedgerAdministration implements OperationAdministration {
  private readonly _options: LedgerAdministrationOptions

  /**
   * @param options what the administration works with
   */
  constructor (options: LedgerAdministrationOptions) {
    this._options = options
  }

  /**
   * Lists operations, newest first.
   * @param workspace name of the workspace; empty means all
   * @param state wanted state; UNSPECIFIED means in progress or in doubt
   * @param limit most operations
   */
  list (workspace: string, state: OperationState, limit: number): readonly OperationRecord[] {
    const found = this._options.partitions.partitions.flatMap((partition) => partition.ledger.list(workspace, state, Infinity))
    return found.sort((left, right) => Number(right.intentAtMs - left.intentAtMs)).slice(0, limit)
  }

  /**
   * Finds one operation.
   * @param workspace name of the workspace
   * @param key its Idempotency-Key
   */
  get (workspace: string, key: string): OperationRecord | undefined {
    return this._options.partitions.ledgerFor(workspace, key).get(workspace, key)
  }

  /**
   * Settles an operation and resolves when the settlement was read back.
   * @param settlement the operator's decision
   * @returns offset of the settlement's record
   * @throws {MimosarockError} OPERATION_UNKNOWN, SETTLEMENT_REFUSED or LOG_UNAVAILABLE
   */
  async settle (settlement: OperationSettlement): Promise<number> {
    const { workspace, key, state, actor, reason, attemptId } = settlement
    const operation = this.get(workspace, key)
    if (operation === undefined) {
      throw new MimosarockError(ResultCode.OPERATION_UNKNOWN, `workspace ${workspace} has no operation ${key}`, { field: 'key' })
    }
    const named = attemptId === '' ? operation : { ...operation, attemptId }
    const bound = runBoundMs(this._options.configuration, operation.route)
    const ledger = this._options.partitions.ledgerFor(workspace, key)
    return await ledger.settle(named, state, actor ?? create(ActorSchema), reason, bound)
  }
}
