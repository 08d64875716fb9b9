import { randomUUID } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import { LogEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { hash32 } from '../membership/hash32.js'
import type { RecordPosition } from '../record-position.js'
import type { CheckpointWriterOptions } from './checkpoint-writer-options.js'
import { splitCheckpoint } from './split-checkpoint.js'

/** Checkpoints written in one retention time; several may fail without harm. */
const CHECKPOINTS_IN_RETENTION = 8
/** How much later each next router in line writes, as a share of the time between checkpoints. */
const STAGGER_SHARE = 1 / 16
const MAXIMUM_STAGGER_MS = 30_000
const MAXIMUM_CHECK_MS = 5_000
const CHECKS_IN_STAGGER = 4
const APPEND_TIMEOUT_MS = 30_000
/** Longest share of the time between checkpoints that writing one may take. */
const WRITING_SHARE = 1 / 2
/** Share of that time after which a checkpoint that was begun and not finished is given up. */
const ABANDONED_SHARE = 3 / 4
const MILLISECONDS_PER_SECOND = 1_000

/**
 * Appends the state of a stream again and again, well before the records that it rests on expire. The routers
 * stand in line by rendezvous hash; the first writes when a checkpoint is due, and each next one only if it has
 * still not seen one a while later. Two that write at once do no harm: a reader starts from the first.
 */
export class CheckpointWriter {
  private readonly _options: CheckpointWriterOptions
  private readonly _intervalMs: number
  private readonly _staggerMs: number
  private _lastAt: number
  private _recordsSince = 0
  private _begunAt = -Infinity

  /**
   * @param options what the writer works with
   */
  constructor (options: CheckpointWriterOptions) {
    this._options = options
    this._intervalMs = options.retentionMs / CHECKPOINTS_IN_RETENTION
    this._staggerMs = Math.min(this._intervalMs * STAGGER_SHARE, MAXIMUM_STAGGER_MS)
    this._lastAt = options.clock.now()
    options.replica.onCheckpoint((position, whole) => this._noteCheckpoint(position, whole))
    options.replica.onApplied(() => { this._recordsSince += 1 })
  }

  /** Time since the last checkpoint that this router knows of, in milliseconds. */
  get ageMs (): number {
    return this._options.clock.now() - this._lastAt
  }

  /**
   * Writes checkpoints until the signal aborts.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    const checkMs = Math.min(this._staggerMs / CHECKS_IN_STAGGER, MAXIMUM_CHECK_MS)
    while (!signal.aborted) {
      await this._options.clock.sleep(checkMs, signal)
      if (!signal.aborted && this._isDue()) await this._write(signal)
    }
  }

  private _isDue (): boolean {
    const { replica, maximumRecords } = this._options
    if (!replica.started || replica.appliedOffset === 0) return false
    if (this._options.clock.now() - this._begunAt < this._intervalMs * ABANDONED_SHARE) return false
    const rank = this._rank()
    const late = this.ageMs >= this._intervalMs + rank * this._staggerMs
    const many = this._recordsSince >= maximumRecords * (1 + rank * STAGGER_SHARE)
    return late || many
  }

  /** Place in the line of writers; routers that disagree on who is live may share one. */
  private _rank (): number {
    const { membership, replica } = this._options
    const weight = (id: string): number => hash32(`${replica.stream}/${id}`)
    const own = weight(membership.self.id)
    return membership.live().filter((router) => !router.leaving && weight(router.id) > own).length
  }

  /** Spreads the parts over time, so that a large state does not use up the budget of control traffic. */
  private async _write (signal: AbortSignal): Promise<void> {
    const { replica, appender, clock, eventLog, maximumPartBytes } = this._options
    const whole = replica.checkpoint()
    const neededRate = whole.state.length * MILLISECONDS_PER_SECOND / (this._intervalMs * WRITING_SHARE)
    const bytesPerMs = Math.max(this._options.bytesPerSecond, neededRate) / MILLISECONDS_PER_SECOND
    const parts = splitCheckpoint(randomUUID(), whole, maximumPartBytes)
    try {
      for (const part of parts) {
        await appender.append(create(LogEntrySchema, { kind: { case: 'checkpoint', value: part } }), APPEND_TIMEOUT_MS)
        if (part.part < part.parts - 1) await clock.sleep(part.state.length / bytesPerMs, signal)
        if (signal.aborted) return
      }
      eventLog.info('checkpoint-written', { stream: replica.stream, covers_offset: whole.coversOffset, bytes: whole.state.length, parts: parts.length })
    } catch (error) {
      eventLog.warn('checkpoint-failed', { stream: replica.stream, error: String(error) })
    }
  }

  /**
   * The writer's wall clock only moves the schedule: a fleet whose routers are replaced more often than
   * checkpoints are due would else never write one. A clock that is wrong costs a checkpoint more, or one interval.
   */
  private _noteCheckpoint (position: RecordPosition, whole: boolean): void {
    const { clock } = this._options
    if (!whole) {
      this._begunAt = clock.now()
      return
    }
    this._begunAt = -Infinity
    const age = clock.wallNow() - position.writtenAtMs
    const bounded = Math.min(Math.max(age, 0), this._intervalMs)
    this._lastAt = Math.max(this._lastAt, clock.now() - bounded)
    this._recordsSince = 0
  }
}
