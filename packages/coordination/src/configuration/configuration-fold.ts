import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type {
  AuditEntry, ChangeResult, Configuration, ConfigurationChange, LogEntry, RevisionSummary
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import {
  AuditEntrySchema, ChangeResultSchema, ConfigurationSchema, ConfigurationStateSchema, RevisionSummarySchema
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ConfigurationIndex } from '../configuration-index.js'
import type { LogFold } from '../log-fold.js'
import type { RecordPosition } from '../record-position.js'
import { applyEdits } from './apply-edits.js'
import { AuditList } from './audit-list.js'
import type { AuditQuery } from './audit-query.js'
import type { ChangeOutcome } from './change-outcome.js'
import { compareConfigurations } from './compare-configurations.js'
import type { PartChange } from './part-change.js'
import { RevisionHistory } from './revision-history.js'

/** Results remembered by change id; an older change fails on its revision instead. */
const MAXIMUM_RESULTS = 1_000
/** Parts of one change that get an audit entry each. */
const MAXIMUM_AUDITED_PARTS = 100
const WORKSPACE_SUBJECT = 'workspace/'

/**
 * The configuration as a fold of its stream. A change is accepted if the revision is still the one that it
 * was based on and the whole result is valid; so of changes that race, the one at the lower offset wins. The
 * revision only grows. Refused changes are kept in the audit trail.
 */
export class ConfigurationFold implements LogFold {
  private readonly _history = new RevisionHistory()
  private readonly _audit = new AuditList()
  private readonly _results = new Map<string, ChangeResult>()
  private _index = new ConfigurationIndex(create(ConfigurationSchema), 0, 0)

  /** The newest revision; number 0 and empty before the first accepted change. */
  get index (): ConfigurationIndex {
    return this._index
  }

  /** Remembered revisions, newest first, without their configurations. */
  get revisions (): readonly RevisionSummary[] {
    return this._history.revisions
  }

  /**
   * Result of a change that was folded.
   * @param changeId the change's id
   */
  resultOf (changeId: string): ChangeResult | undefined {
    return this._results.get(changeId)
  }

  /**
   * The configuration at a revision.
   * @param revision its number
   * @returns undefined if the revision is unknown or no longer remembered
   */
  configurationAt (revision: number): Configuration | undefined {
    if (revision === this._index.revision) return this._index.configuration
    if (revision > this._index.revision) return undefined
    return this._history.configurationAt(revision, this._index.configuration)
  }

  /**
   * Finds audit entries.
   * @param query which ones
   * @returns newest first
   */
  findAudit (query: AuditQuery): readonly AuditEntry[] {
    return this._audit.find(query)
  }

  /**
   * Tells what a change would do now, by the rules by which it would be folded.
   * @param change the change
   */
  evaluate (change: ConfigurationChange): ChangeOutcome {
    const current = this._index.configuration
    const basedOn = Number(change.basedOnRevision)
    const refuse = (code: ResultCode, detail: string, changes: readonly PartChange[] = []): ChangeOutcome =>
      ({ code, detail, configuration: current, changes, problems: [] })
    if (basedOn !== this._index.revision) {
      const detail = `based on revision ${basedOn}, but the configuration is at revision ${this._index.revision}`
      return refuse(ResultCode.REVISION_CONFLICT, detail, this._changesSince(basedOn))
    }
    const rollbackTo = Number(change.rollbackToRevision)
    const start = rollbackTo === 0 ? current : this.configurationAt(rollbackTo)
    if (start === undefined) return refuse(ResultCode.REVISION_UNKNOWN, `revision ${rollbackTo} is unknown or no longer kept`)
    const edited = applyEdits(start, change.edits)
    if (edited.problems.length > 0) {
      const fields = edited.problems.map((problem) => problem.field).slice(0, 5).join(', ')
      return { ...refuse(ResultCode.CONFIGURATION_INVALID, `${edited.problems.length} invalid: ${fields}`), problems: edited.problems }
    }
    const changes = compareConfigurations(current, edited.configuration)
    if (changes.length === 0) return refuse(ResultCode.NOTHING_CHANGED, 'the configuration is already so')
    return { code: ResultCode.OK, detail: '', configuration: edited.configuration, changes, problems: [] }
  }

  /**
   * Applies a change or an audit entry.
   * @param entry the entry
   * @param position where its record stands
   */
  apply (entry: LogEntry, position: RecordPosition): void {
    if (entry.kind.case === 'configurationChange') this._applyChange(entry.kind.value, position)
    if (entry.kind.case === 'audit') this._applyAudit(entry.kind.value, position)
  }

  /** Encodes revision, configuration, history, results and audit trail. */
  encodeState (): Uint8Array {
    return toBinary(ConfigurationStateSchema, create(ConfigurationStateSchema, {
      revision: BigInt(this._index.revision),
      offset: BigInt(this._index.offset),
      configuration: this._index.configuration,
      history: [...this._history.revisions],
      results: [...this._results.values()],
      audit: [...this._audit.entries]
    }))
  }

  /**
   * Replaces the state by a checkpoint's. A checkpoint of an older revision is ignored, so that nothing that
   * was in force here is ever taken back.
   * @param state what encodeState gave
   */
  decodeState (state: Uint8Array): void {
    const decoded = fromBinary(ConfigurationStateSchema, state)
    if (Number(decoded.revision) < this._index.revision) return
    this._index = new ConfigurationIndex(
      decoded.configuration ?? create(ConfigurationSchema), Number(decoded.revision), Number(decoded.offset))
    this._history.replace(decoded.history)
    this._audit.replace(decoded.audit)
    this._results.clear()
    for (const result of decoded.results) this._results.set(result.changeId, result)
  }

  private _applyChange (change: ConfigurationChange, position: RecordPosition): void {
    if (change.changeId !== '' && this._results.has(change.changeId)) return
    const outcome = this.evaluate(change)
    if (outcome.code === ResultCode.OK) this._accept(change, outcome, position)
    this._remember(create(ChangeResultSchema, {
      changeId: change.changeId,
      code: outcome.code,
      revision: BigInt(this._index.revision),
      offset: BigInt(position.offset),
      detail: outcome.detail
    }))
    this._auditChange(change, outcome, position)
  }

  private _accept (change: ConfigurationChange, outcome: ChangeOutcome, position: RecordPosition): void {
    const revision = this._index.revision + 1
    this._index = new ConfigurationIndex(outcome.configuration, revision, position.offset)
    this._history.add(create(RevisionSummarySchema, {
      revision: BigInt(revision),
      offset: BigInt(position.offset),
      changeId: change.changeId,
      actor: change.actor,
      writtenAtMs: BigInt(position.writtenAtMs),
      undo: outcome.changes.map((part) => part.undo)
    }))
  }

  private _remember (result: ChangeResult): void {
    if (result.changeId === '') return
    this._results.set(result.changeId, result)
    if (this._results.size <= MAXIMUM_RESULTS) return
    const oldest = this._results.keys().next()
    if (!oldest.done) this._results.delete(oldest.value)
  }

  private _auditChange (change: ConfigurationChange, outcome: ChangeOutcome, position: RecordPosition): void {
    const action = change.rollbackToRevision > 0n ? 'configuration.roll-back' : 'configuration.change'
    const entry = (subject: string, before: string, after: string): AuditEntry => create(AuditEntrySchema, {
      auditId: change.changeId,
      actor: change.actor,
      atMs: BigInt(position.writtenAtMs),
      action,
      subject,
      before,
      after,
      code: outcome.code,
      revision: BigInt(this._index.revision),
      offset: BigInt(position.offset),
      workspace: subject.startsWith(WORKSPACE_SUBJECT) ? subject.slice(WORKSPACE_SUBJECT.length) : ''
    })
    if (outcome.code !== ResultCode.OK) {
      this._audit.add(entry('configuration', `revision ${change.basedOnRevision}`, outcome.detail))
      return
    }
    for (const part of outcome.changes.slice(0, MAXIMUM_AUDITED_PARTS)) {
      this._audit.add(entry(part.subject, part.before, part.after))
    }
    const rest = outcome.changes.length - MAXIMUM_AUDITED_PARTS
    if (rest > 0) this._audit.add(entry('configuration', '', `${rest} more parts`))
  }

  private _applyAudit (audit: AuditEntry, position: RecordPosition): void {
    this._audit.add(create(AuditEntrySchema, {
      ...audit,
      atMs: BigInt(position.writtenAtMs),
      revision: BigInt(this._index.revision),
      offset: BigInt(position.offset)
    }))
  }

  private _changesSince (revision: number): readonly PartChange[] {
    const base = this.configurationAt(revision)
    return base === undefined ? [] : compareConfigurations(base, this._index.configuration)
  }
}
