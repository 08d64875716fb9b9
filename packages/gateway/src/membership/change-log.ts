import type { LoggedChanges } from './logged-changes.js'

/** Maximum number of retained changes; a router that reads after a longer absence misses older ones. */
const MAXIMUM_CHANGES = 8_192

/** A change and where it came from. */
interface LoggedChange<Change> {
  readonly change: Change
  /** Whether the change came from the upstream router, to which it need not be sent back. */
  readonly isFromUpstream: boolean
}

/**
 * Log of changes from which other routers synchronize. The upstream router is the one from which this router reads changes;
 * downstream routers read from this one.
 */
export class ChangeLog<Change> {
  private readonly _changes: LoggedChange<Change>[] = []
  private _firstPosition = 0

  /** Position after the latest change, from which the next reading continues. */
  get cursor (): number {
    return this._firstPosition + this._changes.length
  }

  /**
   * Appends a change.
   * @param change change to pass on
   * @param isFromUpstream whether the upstream router sent it
   */
  append (change: Change, isFromUpstream: boolean): void {
    this._changes.push({ change, isFromUpstream })
    if (this._changes.length <= MAXIMUM_CHANGES) return
    this._changes.splice(0, MAXIMUM_CHANGES / 2)
    this._firstPosition += MAXIMUM_CHANGES / 2
  }

  /**
   * Returns the changes since a position.
   * @param cursor position after the previous reading; 0 for all changes that are retained
   * @param maximum maximum number of changes
   */
  since (cursor: number, maximum: number): LoggedChanges<Change> {
    const from = Math.max(0, cursor - this._firstPosition)
    const changes = this._changes.slice(from, from + maximum)
    return {
      changes: changes.map(({ change }) => change),
      changesForUpstream: changes.filter(({ isFromUpstream }) => !isFromUpstream).map(({ change }) => change),
      cursor: Math.max(cursor, this._firstPosition) + changes.length
    }
  }
}
