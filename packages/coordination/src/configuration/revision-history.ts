import type { Configuration, RevisionSummary } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { applyEdits } from './apply-edits.js'

/** Upper bound on stored revisions, which can be compared and rolled back to. */
const MAXIMUM_REVISIONS = 256
/** Upper bound on undo edits over all stored revisions; the newest revision is stored regardless of its size. */
const MAXIMUM_UNDO_EDITS = 20_000

/**
 * The most recent revisions, each with the edits that restore the preceding one. Storing complete configurations of
 * 19,000 workspaces would make checkpoints too large; undo edits are only as large as the changes.
 */
export class RevisionHistory {
  private _revisions: RevisionSummary[] = []

  /** Stored revisions, newest first. */
  get revisions (): readonly RevisionSummary[] {
    return this._revisions
  }

  /**
   * Adds a revision and drops the oldest ones beyond the limits.
   * @param revision newest revision
   */
  add (revision: RevisionSummary): void {
    this._revisions.unshift(revision)
    let edits = 0
    const firstDropped = this._revisions.findIndex((summary, index) => {
      edits += summary.undo.length
      return index >= MAXIMUM_REVISIONS || (index > 0 && edits > MAXIMUM_UNDO_EDITS)
    })
    if (firstDropped > 0) this._revisions.length = firstDropped
  }

  /**
   * Replaces all revisions with those of a checkpoint.
   * @param revisions revisions of the checkpoint, newest first
   */
  replace (revisions: readonly RevisionSummary[]): void {
    this._revisions = [...revisions]
  }

  /**
   * Reconstructs the configuration at a revision by undoing newer revisions.
   * @param targetRevision revision number; 0 is the empty configuration before the first change
   * @param newest newest configuration
   * @returns undefined if the revision is unknown or no longer stored
   */
  configurationAt (targetRevision: number, newest: Configuration): Configuration | undefined {
    let configuration = newest
    for (const summary of this._revisions) {
      if (Number(summary.revision) === targetRevision) return configuration
      configuration = applyEdits(configuration, summary.undo).configuration
      // Undoing a revision restores its predecessor, which may have been dropped from the list.
      if (Number(summary.revision) === targetRevision + 1) return configuration
    }
    return undefined
  }
}
