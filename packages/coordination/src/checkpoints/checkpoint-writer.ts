import { randomUUID } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import { LogEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { hash32 } from '../membership/hash32.js'
import type { RecordPosition } from '../record-position.js'
import type { CheckpointWriterOptions } from './checkpoint-writer-options.js'
import { splitCheckpoint } from './split-checkpoint.js'

/** Checkpoints per retention time. Several in a row may fail before a record expires that no checkpoint covers. */
const CHECKPOINTS_PER_RETENTION = 8
/** Delay of each further router in rank order, as a fraction of the checkpoint interval. */
const STAGGER_FRACTION = 1 / 16
const MAXIMUM_STAGGER_MS = 30_000
const MAXIMUM_CHECK_INTERVAL_MS = 5_000
const CHECKS_PER_STAGGER = 4
const APPEND_TIMEOUT_MS = 30_000
/** Upper bound on the time that writing a checkpoint takes, as a fraction of the checkpoint interval. */
const MAXIMUM_WRITING_FRACTION = 1 / 2
/** Fraction of the checkpoint interval after which an unfinished checkpoint counts as abandoned. */
const ABANDONED_FRACTION = 3 / 4
const MILLISECONDS_PER_SECOND = 1_000

/**
 * Periodically appends the state of a stream to it as a checkpoint, well before the records that the state is
 * derived from expire. Routers are ranked by rendezvous hash: the primary writes when a checkpoint is due, and
 * each further router writes only if it has seen no checkpoint after an additional delay. Concurrent checkpoints
 * are harmless, since a reader starts from the first complete one.
 */
export class CheckpointWriter {
  private readonly _options: CheckpointWriterOptions
  private readonly _intervalMs: number
  private readonly _staggerMs: number
  private _lastCheckpointAt: number
  private _recordsSinceCheckpoint = 0
  private _checkpointStartedAt = -Infinity

  /**
   * @param options replica, appender, schedule and size limits
   */
  constructor (options: CheckpointWriterOptions) {
    this._options = options
    this._intervalMs = options.retentionMs / CHECKPOINTS_PER_RETENTION
    this._staggerMs = Math.min(this._intervalMs * STAGGER_FRACTION, MAXIMUM_STAGGER_MS)
    this._lastCheckpointAt = options.clock.now()
    options.replica.onCheckpoint((position, isComplete) => this._recordCheckpoint(position, isComplete))
    options.replica.onApplied(() => { this._recordsSinceCheckpoint += 1 })
  }

  /** Age of the last complete checkpoint that this router has read, in milliseconds; time since the start if it has read none. */
  get ageMs (): number {
    return this._options.clock.now() - this._lastCheckpointAt
  }

  /**
   * Writes checkpoints when they are due, until the signal aborts.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    const checkMs = Math.min(this._staggerMs / CHECKS_PER_STAGGER, MAXIMUM_CHECK_INTERVAL_MS)
    while (!signal.aborted) {
      await this._options.clock.sleep(checkMs, signal)
      if (!signal.aborted && this._isDue()) await this._write(signal)
    }
  }

  private _isDue (): boolean {
    const { replica, maximumRecords } = this._options
    if (!replica.started || replica.appliedOffset === 0) return false
    if (this._options.clock.now() - this._checkpointStartedAt < this._intervalMs * ABANDONED_FRACTION) return false
    const rank = this._rank()
    const isOverdue = this.ageMs >= this._intervalMs + rank * this._staggerMs
    const hasTooManyRecords = this._recordsSinceCheckpoint >= maximumRecords * (1 + rank * STAGGER_FRACTION)
    return isOverdue || hasTooManyRecords
  }

  /** Rank of this router among the writers, 0 for the primary. Routers whose membership views differ may get the same rank. */
  private _rank (): number {
    const { membership, replica } = this._options
    const score = (id: string): number => hash32(`${replica.stream}/${id}`)
    const ownScore = score(membership.self.id)
    return membership.live().filter((router) => !router.leaving && score(router.id) > ownScore).length
  }

  /** Appends the parts at a limited rate, since a large state would otherwise exhaust the budget of control traffic. */
  private async _write (signal: AbortSignal): Promise<void> {
    const { replica, appender, clock, eventLog, maximumPartBytes } = this._options
    const checkpoint = replica.checkpoint()
    const requiredBytesPerSecond = checkpoint.state.length * MILLISECONDS_PER_SECOND / (this._intervalMs * MAXIMUM_WRITING_FRACTION)
    const bytesPerMs = Math.max(this._options.bytesPerSecond, requiredBytesPerSecond) / MILLISECONDS_PER_SECOND
    const parts = splitCheckpoint(randomUUID(), checkpoint, maximumPartBytes)
    try {
      for (const part of parts) {
        await appender.append(create(LogEntrySchema, { kind: { case: 'checkpoint', value: part } }), APPEND_TIMEOUT_MS)
        if (part.part < part.parts - 1) await clock.sleep(part.state.length / bytesPerMs, signal)
        if (signal.aborted) return
      }
      eventLog.info('checkpoint-written', { stream: replica.stream, covers_offset: checkpoint.coversOffset, bytes: checkpoint.state.length, parts: parts.length })
    } catch (error) {
      eventLog.warn('checkpoint-failed', { stream: replica.stream, error: String(error) })
    }
  }

  /**
   * Restarts the schedule from the time at which a checkpoint was written, by the writer's wall clock. If the schedule
   * restarted at the time of reading instead, a fleet whose routers are replaced more often than checkpoints are due
   * would never write one. A wrong clock causes one extra checkpoint or a delay of at most one interval.
   */
  private _recordCheckpoint (position: RecordPosition, isComplete: boolean): void {
    const { clock } = this._options
    if (!isComplete) {
      this._checkpointStartedAt = clock.now()
      return
    }
    this._checkpointStartedAt = -Infinity
    const age = clock.wallNow() - position.writtenAtMs
    const boundedAge = Math.min(Math.max(age, 0), this._intervalMs)
    this._lastCheckpointAt = Math.max(this._lastCheckpointAt, clock.now() - boundedAge)
    this._recordsSinceCheckpoint = 0
  }
}
