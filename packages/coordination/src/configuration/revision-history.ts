import type { Configuration, RevisionSummary } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { applyEdits } from './apply-edits.js'

/** Revisions that can be rolled back to and compared. */
const MAXIMUM_REVISIONS = 256
/** Undo edits kept over all revisions; the newest revision is kept whatever its size. */
const MAXIMUM_UNDO_EDITS = 20_000

/**
 * The last revisions, each with the edits that lead back to the one before. Whole configurations of
 * 19,000 workspaces would fill a checkpoint; undo edits are as small as the changes were.
 */
export class RevisionHistory {
  private _revisions: RevisionSummary[] = []

  /** The revisions, newest first. */
  get revisions (): readonly RevisionSummary[] {
    return this._revisions
  }

  /**
   * Adds a revision and forgets the oldest beyond the bounds.
   * @param revision the newest revision
   */
  add (revision: RevisionSummary): void {
    this._revisions.unshift(revision)
    let edits = 0
    const kept = this._revisions.findIndex((summary, index) => {
      edits += summary.undo.length
      return index >= MAXIMUM_REVISIONS || (index > 0 && edits > MAXIMUM_UNDO_EDITS)
    })
    if (kept > 0) this._revisions.length = kept
  }

  /**
   * Replaces all revisions by a checkpoint's.
   * @param revisions newest first
   */
  replace (revisions: readonly RevisionSummary[]): void {
    this._revisions = [...revisions]
  }

  /**
   * The configuration at a revision.
   * @param wanted number of the revision; 0 is the empty configuration before the first change
   * @param newest the newest configuration
   * @returns undefined if the revision is unknown or forgotten
   */
  configurationAt (wanted: number, newest: Configuration): Configuration | undefined {
    let configuration = newest
    for (const summary of this._revisions) {
      if (Number(summary.revision) === wanted) return configuration
      configuration = applyEdits(configuration, summary.undo).configuration
      // The undo of a revision leads to its predecessor, which may no longer be listed itself.
      if (Number(summary.revision) === wanted + 1) return configuration
    }
    return undefined
  }
}
