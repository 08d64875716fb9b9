import { MemberCondition } from './member-condition.js'
import { MemberDigest } from './member-digest.js'
import type { MemberRecord } from './member-record.js'

/** Maximum number of records of removed routers, which keep stale updates from restoring them. */
const MAXIMUM_TOMBSTONES = 4096

/** Called with the new record, the previous one (undefined for a new router), and the id of the peer that reported it. */
type MemberListener = (record: MemberRecord, previous: MemberRecord | undefined, source: string | undefined) => void

/** The member records known to one router. Merging converges to the same table regardless of the order of updates. */
export class MemberTable {
  readonly digest = new MemberDigest()
  private readonly _records = new Map<string, MemberRecord>()
  private readonly _listener: MemberListener
  private _removedCount = 0

  /**
   * @param listener called synchronously after each change of a record
   */
  constructor (listener: MemberListener) {
    this._listener = listener
  }

  /** All records, including those of removed routers. */
  get records (): IterableIterator<MemberRecord> {
    return this._records.values()
  }

  /**
   * Returns the record of a router, or undefined if the router is unknown.
   * @param id the router's id
   */
  get (id: string): MemberRecord | undefined {
    return this._records.get(id)
  }

  /**
   * Returns the records in the buckets whose digests differ from those of a peer.
   * @param buckets the peer's bucket digests, in bucket order
   */
  recordsInDifferingBuckets (buckets: readonly number[]): MemberRecord[] {
    const ownBuckets = this.digest.buckets
    const differs = ownBuckets.map((value, bucket) => value !== buckets[bucket])
    return [...this._records.values()].filter((record) => differs[this.digest.bucketOf(record.identity.id)])
  }

  /**
   * Merges a peer's record of a router other than this one. A reported removal that the router did not announce
   * only makes it a suspect: a router that the other side of a partition removed can refute the removal first.
   * @param record the reported record
   * @param source id of the reporting peer
   * @returns whether the reported record is older than the one in this table
   */
  merge (record: MemberRecord, source: string): boolean {
    const known = this._records.get(record.identity.id)
    if (known === undefined) {
      if (record.condition !== MemberCondition.REMOVED) this.put(record, source)
      return false
    }
    const revision = Math.max(known.revision, record.revision)
    if (isNewer(record, known)) {
      const condition = this._conditionAfterMerge(record, known)
      const sameRecord = condition === known.condition && record.incarnation === known.incarnation
      if (!sameRecord || revision > known.revision) this.put({ ...record, condition, revision }, source)
      return false
    }
    if (revision > known.revision) this.put({ ...known, revision }, source)
    return isNewer(known, record)
  }

  /**
   * Sets the record of a router and notifies the listener.
   * @param record replaces the router's previous record
   * @param source id of the reporting peer; undefined if this router changed the record itself
   */
  put (record: MemberRecord, source?: string): void {
    const id = record.identity.id
    const previous = this._records.get(id)
    if (previous !== undefined) {
      this.digest.toggle(previous)
      if (previous.condition === MemberCondition.REMOVED) this._removedCount -= 1
      this._records.delete(id)
    }
    this._records.set(id, record)
    this.digest.toggle(record)
    if (record.condition === MemberCondition.REMOVED) {
      this._removedCount += 1
      this._deleteOldestTombstone()
    }
    this._listener(record, previous, source)
  }

  /** Each router runs its own suspicion timeout: a removal reported by a peer only starts it. */
  private _conditionAfterMerge (record: MemberRecord, known: MemberRecord): MemberCondition {
    const removed = record.condition === MemberCondition.REMOVED
    if (!removed || record.identity.leaving || known.condition === MemberCondition.REMOVED) return record.condition
    return MemberCondition.SUSPECT
  }

  private _deleteOldestTombstone (): void {
    if (this._removedCount <= MAXIMUM_TOMBSTONES) return
    for (const record of this._records.values()) {
      if (record.condition !== MemberCondition.REMOVED) continue
      this._records.delete(record.identity.id)
      this._removedCount -= 1
      return
    }
  }
}

function isNewer (left: MemberRecord, right: MemberRecord): boolean {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation
  return left.condition > right.condition
}
