import { clone } from '@bufbuild/protobuf'
import type { AuditEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { AuditEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { AuditQuery } from './audit-query.js'

/** Upper bound on the entries in memory and in checkpoints; older entries remain in the log until its retention ends. */
const MAXIMUM_ENTRIES = 1_000
/** Upper bound on the stored text of an item before or after a change, in characters. */
const MAXIMUM_TEXT_LENGTH = 1_000
const DEFAULT_LIMIT = 100

function truncate (text: string): string {
  return text.length <= MAXIMUM_TEXT_LENGTH ? text : `${text.slice(0, MAXIMUM_TEXT_LENGTH)}…`
}

function matches (entry: AuditEntry, query: AuditQuery): boolean {
  const atMs = Number(entry.atMs)
  if (query.workspace !== undefined && entry.workspace !== query.workspace) return false
  if (query.actor !== undefined && entry.actor?.name !== query.actor) return false
  if (query.fromMs !== undefined && atMs < query.fromMs) return false
  return query.untilMs === undefined || atMs <= query.untilMs
}

/** The most recent entries of the audit trail, in a bounded list. */
export class AuditList {
  private _entries: AuditEntry[] = []

  /** All stored entries, oldest first. */
  get entries (): readonly AuditEntry[] {
    return this._entries
  }

  /**
   * Adds a copy of an entry and drops the oldest entry beyond the size limit.
   * @param entry entry to copy; long texts are truncated in the copy
   */
  add (entry: AuditEntry): void {
    const stored = clone(AuditEntrySchema, entry)
    stored.before = truncate(stored.before)
    stored.after = truncate(stored.after)
    this._entries.push(stored)
    if (this._entries.length > MAXIMUM_ENTRIES) this._entries.shift()
  }

  /**
   * Replaces all entries with those of a checkpoint.
   * @param entries entries of the checkpoint, oldest first
   */
  replace (entries: readonly AuditEntry[]): void {
    this._entries = [...entries]
  }

  /**
   * Finds the entries that match a query.
   * @param query conditions and limit
   * @returns matching entries, newest first
   */
  find (query: AuditQuery): readonly AuditEntry[] {
    const found = this._entries.filter((entry) => matches(entry, query)).reverse()
    return found.slice(0, query.limit ?? DEFAULT_LIMIT)
  }
}
