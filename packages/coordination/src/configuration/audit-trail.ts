import { randomUUID } from 'node:crypto'
import type { MessageInitShape } from '@bufbuild/protobuf'
import { create } from '@bufbuild/protobuf'
import type { AuditEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { AuditEntrySchema, LogEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { AuditTrailOptions } from './audit-trail-options.js'

/** Entries that wait for the log service; beyond it the oldest are given up and said so in the event log. */
const MAXIMUM_WAITING = 1_000
const APPEND_TIMEOUT_MS = 10_000
const RETRY_MS = 1_000

/**
 * Writes audit entries to the log service. Entries wait in memory while it is down; an entry whose append
 * went unanswered is sent again under the same id and folded once.
 *
 * @example
 * auditTrail.note({ actor, action: 'operation.settle', subject: `operation/${key}`, after: 'not-run', workspace })
 */
export class AuditTrail {
  private readonly _options: AuditTrailOptions
  private readonly _waiting: AuditEntry[] = []
  private _arrival = new AbortController()

  /**
   * @param options what the trail works with
   */
  constructor (options: AuditTrailOptions) {
    this._options = options
  }

  /** Entries not yet known to be in the log. */
  get waitingCount (): number {
    return this._waiting.length
  }

  /**
   * Takes an entry and returns at once.
   * @param init who did what to which subject; id, time, revision and offset are filled in
   */
  note (init: MessageInitShape<typeof AuditEntrySchema>): void {
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
    this._waiting.push(entry)
    if (this._waiting.length > MAXIMUM_WAITING) this._giveUpOldest()
    this._arrival.abort()
  }

  /**
   * Appends entries until the signal aborts.
   * @param signal ends the task
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this._waiting.length === 0) await this._waitForArrival(signal)
      else await this._appendWaiting(signal)
    }
  }

  private async _waitForArrival (signal: AbortSignal): Promise<void> {
    this._arrival = new AbortController()
    const arrival = AbortSignal.any([signal, this._arrival.signal])
    if (arrival.aborted) return
    await new Promise((resolve) => arrival.addEventListener('abort', resolve, { once: true }))
  }

  private async _appendWaiting (signal: AbortSignal): Promise<void> {
    const entries = [...this._waiting]
    const appended = await Promise.all(entries.map((entry) => this._append(entry)))
    if (appended.includes(false)) await this._options.clock.sleep(RETRY_MS, signal)
  }

  private async _append (entry: AuditEntry): Promise<boolean> {
    const logEntry = create(LogEntrySchema, { kind: { case: 'audit', value: entry } })
    try {
      await this._options.appender.append(logEntry, APPEND_TIMEOUT_MS)
    } catch {
      return false
    }
    const index = this._waiting.indexOf(entry)
    if (index >= 0) this._waiting.splice(index, 1)
    return true
  }

  private _giveUpOldest (): void {
    const lost = this._waiting.shift()
    this._options.eventLog.warn('audit-entry-lost', { action: lost?.action, subject: lost?.subject })
  }
}
