import type { OperationRecord, OperationSettlement, OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Operators' access to the ledger of calls that must run at most once. */
export interface OperationAdministration {
  /**
   * Lists operations, newest first.
   * @param workspace name of the workspace; an empty string matches all workspaces
   * @param state state of the operations; UNSPECIFIED matches those in progress or in doubt
   * @param limit maximum number of operations returned
   */
  list (workspace: string, state: OperationState, limit: number): readonly OperationRecord[]
  /**
   * Returns an operation, or undefined if it is unknown.
   * @param workspace name of the workspace
   * @param key Idempotency-Key of the operation
   */
  get (workspace: string, key: string): OperationRecord | undefined
  /**
   * Settles an operation in progress or in doubt and resolves when the settlement has been read back from the log.
   * @param settlement the operator's decision; an empty attempt id means the current attempt
   * @returns offset of the settlement's log record
   * @throws {MimosarockError} OPERATION_UNKNOWN, SETTLEMENT_REFUSED or LOG_UNAVAILABLE
   */
  settle (settlement: OperationSettlement): Promise<number>
}
