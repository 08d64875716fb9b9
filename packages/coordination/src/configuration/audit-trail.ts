import { randomUUID } from 'node:crypto'
import type { MessageInitShape } from '@bufbuild/protobuf'
import { create } from '@bufbuild/protobuf'
import type { AuditEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { AuditEntrySchema, LogEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { AuditTrailOptions } from './audit-trail-options.js'

/** Upper bound on entries that wait to be appended; beyond it the oldest entry is dropped and the drop is logged. */
const MAXIMUM_PENDING_ENTRIES = 1_000
const APPEND_TIMEOUT_MS = 10_000
const RETRY_DELAY_MS = 1_000

/**
 * Writes audit entries to the log service. Entries are queued in memory while the service is unavailable; an entry
 * whose append was not confirmed is sent again with the same id.
 *
 * @example
 * auditTrail.record({ actor, action: 'operation.settle', subject: `operation/${key}`, after: 'not-run', workspace })
 */
export class AuditTrail {
  private readonly _options: AuditTrailOptions
  private readonly _pending: AuditEntry[] = []
  private _wake = new AbortController()

  /**
   * @param options appender, clock and event log
   */
  constructor (options: AuditTrailOptions) {
    this._options = options
  }

  /** Number of entries whose append has not been confirmed yet. */
  get pendingCount (): number {
    return this._pending.length
  }

  /**
   * Logs an entry and queues it for appending; returns without waiting for the append.
   * @param init actor, action, subject and result; a missing id is generated. The fold sets revision and offset when it
   * applies the entry, and replaces the time set here with that of the entry's record.
   */
  record (init: MessageInitShape<typeof AuditEntrySchema>): void {
    const entry = create(AuditEntrySchema, init)
    if (entry.auditId === '') entry.auditId = randomUUID()
    entry.atMs = BigInt(Math.round(this._options.clock.wallNow()))
    this._options.eventLog.info('audit', {
      actor: entry.actor?.name,
      source: entry.actor?.source,
      action: entry.action,
      subject: entry.subject,
      code: entry.code
    })
    this._pending.push(entry)
    if (this._pending.length > MAXIMUM_PENDING_ENTRIES) this._dropOldest()
    this._wake.abort()
  }

  /**
   * Appends queued entries until the signal aborts.
   * @param signal stops the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this._pending.length === 0) await this._waitForEntry(signal)
      else await this._appendPending(signal)
    }
  }

  private async _waitForEntry (signal: AbortSignal): Promise<void> {
    this._wake = new AbortController()
    const wakeSignal = AbortSignal.any([signal, this._wake.signal])
    if (wakeSignal.aborted) return
    await new Promise((resolve) => wakeSignal.addEventListener('abort', resolve, { once: true }))
  }

  private async _appendPending (signal: AbortSignal): Promise<void> {
    const entries = [...this._pending]
    const appended = await Promise.all(entries.map((entry) => this._append(entry)))
    if (appended.includes(false)) await this._options.clock.sleep(RETRY_DELAY_MS, signal)
  }

  private async _append (entry: AuditEntry): Promise<boolean> {
    const logEntry = create(LogEntrySchema, { kind: { case: 'audit', value: entry } })
    try {
      await this._options.appender.append(logEntry, APPEND_TIMEOUT_MS)
    } catch {
      return false
    }
    const index = this._pending.indexOf(entry)
    if (index >= 0) this._pending.splice(index, 1)
    return true
  }

  private _dropOldest (): void {
    const dropped = this._pending.shift()
    this._options.eventLog.warn('audit-entry-lost', { action: dropped?.action, subject: dropped?.subject })
  }
}
