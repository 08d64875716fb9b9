import type { OperationRecord } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { Clock } from '../clock.js'
import type { LedgerFold } from './ledger-fold.js'

/** How long this process has known of each open attempt, by its monotonic clock. */
export class OpenOperationAges {
  private readonly _clock: Clock
  private readonly _firstReadAt = new Map<string, number>()

  /**
   * @param fold the operations
   * @param clock counts the ages
   */
  constructor (fold: LedgerFold, clock: Clock) {
    this._clock = clock
    fold.onChange((operation) => this._notice(operation))
  }

  /**
   * Time since the attempt was first read, in milliseconds.
   * @param operation an open operation
   */
  ageMs (operation: OperationRecord): number {
    const firstReadAt = this._firstReadAt.get(operation.attemptId)
    if (firstReadAt !== undefined) return this._clock.now() - firstReadAt
    // Came with a checkpoint: its age counts from the first question.
    this._firstReadAt.set(operation.attemptId, this._clock.now())
    return 0
  }

  private _notice (operation: OperationRecord): void {
    const open = operation.state === OperationState.IN_PROGRESS || operation.state === OperationState.IN_DOUBT
    if (!open) this._firstReadAt.delete(operation.attemptId)
    else if (!this._firstReadAt.has(operation.attemptId)) this._firstReadAt.set(operation.attemptId, this._clock.now())
  }
}
