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
import type { ItemChange } from './item-change.js'
import { RevisionHistory } from './revision-history.js'

/** Upper bound on the results stored by change id; a repeat of an older change fails with a revision conflict instead. */
const MAXIMUM_RESULTS = 1_000
/** Upper bound on the items of one change that get an audit entry each. */
const MAXIMUM_AUDITED_ITEMS = 100
const WORKSPACE_SUBJECT_PREFIX = 'workspace/'

/**
 * The configuration as a fold of its stream. A change is accepted if the current revision is the one that it is
 * based on and the resulting configuration is valid; of concurrent changes, the one at the lower offset is accepted.
 * The revision never decreases. Rejected changes are recorded in the audit trail.
 */
export class ConfigurationFold implements LogFold {
  private readonly _history = new RevisionHistory()
  private readonly _audit = new AuditList()
  private readonly _results = new Map<string, ChangeResult>()
  private _index = new ConfigurationIndex(create(ConfigurationSchema), 0, 0)

  /** Newest revision; revision 0 with an empty configuration before the first accepted change. */
  get index (): ConfigurationIndex {
    return this._index
  }

  /** Stored revisions, newest first, without their configurations. */
  get revisions (): readonly RevisionSummary[] {
    return this._history.revisions
  }

  /**
   * Returns the result of a change that has been applied or rejected.
   * @param changeId id of the change
   * @returns undefined if the change is unknown or its result no longer stored
   */
  resultOf (changeId: string): ChangeResult | undefined {
    return this._results.get(changeId)
  }

  /**
   * Returns the configuration at a revision.
   * @param revision revision number
   * @returns undefined if the revision is unknown or no longer stored
   */
  configurationAt (revision: number): Configuration | undefined {
    if (revision === this._index.revision) return this._index.configuration
    if (revision > this._index.revision) return undefined
    return this._history.configurationAt(revision, this._index.configuration)
  }

  /**
   * Finds audit entries.
   * @param query conditions and limit
   * @returns matching entries, newest first
   */
  findAudit (query: AuditQuery): readonly AuditEntry[] {
    return this._audit.find(query)
  }

  /**
   * Evaluates a change against the current configuration, by the same rules as `apply`, without applying it.
   * @param change change to evaluate
   */
  evaluate (change: ConfigurationChange): ChangeOutcome {
    const current = this._index.configuration
    const basedOn = Number(change.basedOnRevision)
    const reject = (code: ResultCode, detail: string, changes: readonly ItemChange[] = []): ChangeOutcome =>
      ({ code, detail, configuration: current, changes, problems: [] })
    if (basedOn !== this._index.revision) {
      const detail = `based on revision ${basedOn}, but the configuration is at revision ${this._index.revision}`
      return reject(ResultCode.REVISION_CONFLICT, detail, this._changesSince(basedOn))
    }
    const rollbackTo = Number(change.rollbackToRevision)
    const start = rollbackTo === 0 ? current : this.configurationAt(rollbackTo)
    if (start === undefined) return reject(ResultCode.REVISION_UNKNOWN, `revision ${rollbackTo} is unknown or no longer kept`)
    const edited = applyEdits(start, change.edits)
    if (edited.problems.length > 0) {
      const fields = edited.problems.map((problem) => problem.field).slice(0, 5).join(', ')
      return { ...reject(ResultCode.CONFIGURATION_INVALID, `${edited.problems.length} invalid: ${fields}`), problems: edited.problems }
    }
    const changes = compareConfigurations(current, edited.configuration)
    if (changes.length === 0) return reject(ResultCode.NOTHING_CHANGED, 'the configuration is already so')
    return { code: ResultCode.OK, detail: '', configuration: edited.configuration, changes, problems: [] }
  }

  /**
   * Applies a configuration change or an audit entry; ignores other entries.
   * @param entry entry to apply
   * @param position position of the record that holds the entry
   */
  apply (entry: LogEntry, position: RecordPosition): void {
    if (entry.kind.case === 'configurationChange') this._applyChange(entry.kind.value, position)
    if (entry.kind.case === 'audit') this._applyAudit(entry.kind.value, position)
  }

  /** Encodes the revision, configuration, history, results and audit trail. */
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
   * Replaces the state with that of a checkpoint. A checkpoint of an older revision is ignored, since a configuration
   * that was in force at this router must never be reverted.
   * @param state output of `encodeState`
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
    if (outcome.code === ResultCode.OK) this._applyAccepted(change, outcome, position)
    this._storeResult(create(ChangeResultSchema, {
      changeId: change.changeId,
      code: outcome.code,
      revision: BigInt(this._index.revision),
      offset: BigInt(position.offset),
      detail: outcome.detail
    }))
    this._auditChange(change, outcome, position)
  }

  private _applyAccepted (change: ConfigurationChange, outcome: ChangeOutcome, position: RecordPosition): void {
    const revision = this._index.revision + 1
    this._index = new ConfigurationIndex(outcome.configuration, revision, position.offset)
    this._history.add(create(RevisionSummarySchema, {
      revision: BigInt(revision),
      offset: BigInt(position.offset),
      changeId: change.changeId,
      actor: change.actor,
      writtenAtMs: BigInt(position.writtenAtMs),
      undo: outcome.changes.map((itemChange) => itemChange.undo)
    }))
  }

  private _storeResult (result: ChangeResult): void {
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
      workspace: subject.startsWith(WORKSPACE_SUBJECT_PREFIX) ? subject.slice(WORKSPACE_SUBJECT_PREFIX.length) : ''
    })
    if (outcome.code !== ResultCode.OK) {
      this._audit.add(entry('configuration', `revision ${change.basedOnRevision}`, outcome.detail))
      return
    }
    for (const itemChange of outcome.changes.slice(0, MAXIMUM_AUDITED_ITEMS)) {
      this._audit.add(entry(itemChange.subject, itemChange.before, itemChange.after))
    }
    const omitted = outcome.changes.length - MAXIMUM_AUDITED_ITEMS
    if (omitted > 0) this._audit.add(entry('configuration', '', `${omitted} more parts`))
  }

  private _applyAudit (audit: AuditEntry, position: RecordPosition): void {
    this._audit.add(create(AuditEntrySchema, {
      ...audit,
      atMs: BigInt(position.writtenAtMs),
      revision: BigInt(this._index.revision),
      offset: BigInt(position.offset)
    }))
  }

  private _changesSince (revision: number): readonly ItemChange[] {
    const base = this.configurationAt(revision)
    return base === undefined ? [] : compareConfigurations(base, this._index.configuration)
  }
}
