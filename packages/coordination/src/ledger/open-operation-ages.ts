import type { OperationRecord } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { Clock } from '../clock.js'
import type { LedgerFold } from './ledger-fold.js'

/**
 * Ages of the attempts of open operations (in progress or in doubt): the time since this process first read each
 * attempt, measured on its monotonic clock.
 */
export class OpenOperationAges {
  private readonly _clock: Clock
  private readonly _firstReadAt = new Map<string, number>()

  /**
   * @param fold operations of the partition
   * @param clock monotonic clock for the ages
   */
  constructor (fold: LedgerFold, clock: Clock) {
    this._clock = clock
    fold.onChange((operation) => this._onChange(operation))
  }

  /**
   * Returns the time since the current attempt of an operation was first read, in milliseconds.
   * @param operation operation in progress or in doubt
   */
  ageMs (operation: OperationRecord): number {
    const firstReadAt = this._firstReadAt.get(operation.attemptId)
    if (firstReadAt !== undefined) return this._clock.now() - firstReadAt
    // The operation was loaded from a checkpoint, so its age starts with the first query.
    this._firstReadAt.set(operation.attemptId, this._clock.now())
    return 0
  }

  private _onChange (operation: OperationRecord): void {
    const isOpen = operation.state === OperationState.IN_PROGRESS || operation.state === OperationState.IN_DOUBT
    if (!isOpen) this._firstReadAt.delete(operation.attemptId)
    else if (!this._firstReadAt.has(operation.attemptId)) this._firstReadAt.set(operation.attemptId, this._clock.now())
  }
}
