import type { OperationRecord, OperationSettlement, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Operators' access to the ledger of calls that may not be repeated. */
export interface OperationAdministration {
  /**
   * Lists operations, newest first.
   * @param workspace name of the workspace; empty means all
   * @param state wanted state; UNSPECIFIED means in progress or in doubt
   * @param limit most operations
   */
  list (workspace: string, state: OperationState, limit: number): readonly OperationRecord[]
  /**
   * Finds one operation.
   * @param workspace name of the workspace
   * @param key its Idempotency-Key
   */
  get (workspace: string, key: string): OperationRecord | undefined
  /**
   * Settles an operation in doubt and resolves when the settlement was read back.
   * @param settlement the operator's decision
   * @returns offset of the settlement's record
   * @throws {MimosarockError} OPERATION_UNKNOWN, SETTLEMENT_REFUSED or LOG_UNAVAILABLE
   */
  settle (settlement: OperationSettlement): Promise<number>
}
