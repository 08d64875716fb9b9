import { clone } from '@bufbuild/protobuf'
import type { AuditEntry } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { AuditEntrySchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { AuditQuery } from './audit-query.js'

/** Entries kept in memory and in checkpoints; older ones stand in the log until its retention ends. */
const MAXIMUM_ENTRIES = 1_000
/** Longest text of a part before or after a change. */
const MAXIMUM_TEXT_LENGTH = 1_000
const DEFAULT_LIMIT = 100

function shorten (text: string): string {
  return text.length <= MAXIMUM_TEXT_LENGTH ? text : `${text.slice(0, MAXIMUM_TEXT_LENGTH)}…`
}

function matches (entry: AuditEntry, query: AuditQuery): boolean {
  const atMs = Number(entry.atMs)
  if (query.workspace !== undefined && entry.workspace !== query.workspace) return false
  if (query.actor !== undefined && entry.actor?.name !== query.actor) return false
  if (query.fromMs !== undefined && atMs < query.fromMs) return false
  return query.untilMs === undefined || atMs <= query.untilMs
}

/** The last entries of the audit trail. */
export class AuditList {
  private _entries: AuditEntry[] = []

  /** The entries, oldest first. */
  get entries (): readonly AuditEntry[] {
    return this._entries
  }

  /**
   * Adds an entry and forgets the oldest beyond the bound.
   * @param entry the entry; long texts are cut
   */
  add (entry: AuditEntry): void {
    const kept = clone(AuditEntrySchema, entry)
    kept.before = shorten(kept.before)
    kept.after = shorten(kept.after)
    this._entries.push(kept)
    if (this._entries.length > MAXIMUM_ENTRIES) this._entries.shift()
  }

  /**
   * Replaces all entries by a checkpoint's.
   * @param entries oldest first
   */
  replace (entries: readonly AuditEntry[]): void {
    this._entries = [...entries]
  }

  /**
   * Finds entries.
   * @param query which ones
   * @returns newest first
   */
  find (query: AuditQuery): readonly AuditEntry[] {
    const found = this._entries.filter((entry) => matches(entry, query)).reverse()
    return found.slice(0, query.limit ?? DEFAULT_LIMIT)
  }
}
