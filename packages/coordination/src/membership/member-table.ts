import { MemberCondition } from './member-condition.js'
import { MemberDigest } from './member-digest.js'
import type { MemberRecord } from './member-record.js'

/** Removed routers remembered, so that old news does not bring them back. */
const MAXIMUM_REMOVED = 4096

/** Called with a record's new and old value; the old one is undefined for a router not known before. */
type MemberListener = (record: MemberRecord, previous: MemberRecord | undefined, source: string | undefined) => void

/** All that one router knows of the fleet's members, merged so that every order of arrival gives the same. */
export class MemberTable {
  readonly digest = new MemberDigest()
  private readonly _records = new Map<string, MemberRecord>()
  private readonly _listener: MemberListener
  private _removedCount = 0

  /**
   * @param listener called after each change
   */
  constructor (listener: MemberListener) {
    this._listener = listener
  }

  /** Every record, those of removed routers included. */
  get records (): IterableIterator<MemberRecord> {
    return this._records.values()
  }

  /**
   * The record of a router.
   * @param id the router's id
   */
  get (id: string): MemberRecord | undefined {
    return this._records.get(id)
  }

  /**
   * Records in the buckets whose digests differ from a peer's.
   * @param buckets the peer's digests
   */
  differing (buckets: readonly number[]): MemberRecord[] {
    const own = this.digest.buckets
    const differs = own.map((value, bucket) => value !== buckets[bucket])
    return [...this._records.values()].filter((record) => differs[this.digest.bucketOf(record.identity.id)])
  }

  /**
   * Takes a peer's record of a router other than this one. A removal that the router did not announce makes it
   * a suspect only, so that a router which the other side of a partition removed can refute first.
   * @param record what the peer says
   * @param source id of the peer
   * @returns whether the peer's record is older than the one here
   */
  merge (record: MemberRecord, source: string): boolean {
    const known = this._records.get(record.identity.id)
    if (known === undefined) {
      if (record.condition !== MemberCondition.REMOVED) this.put(record, source)
      return false
    }
    const revision = Math.max(known.revision, record.revision)
    if (isNewer(record, known)) {
      const condition = this._believed(record, known)
      const same = condition === known.condition && record.incarnation === known.incarnation
      if (!same || revision > known.revision) this.put({ ...record, condition, revision }, source)
      return false
    }
    if (revision > known.revision) this.put({ ...known, revision }, source)
    return isNewer(known, record)
  }

  /**
   * Sets a record.
   * @param record the new record
   * @param source id of the peer that told it; undefined if it was found out here
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
      this._forgetOldestRemoved()
    }
    this._listener(record, previous, source)
  }

  /** Each router times a suspicion itself: word that others have removed the router only starts it. */
  private _believed (record: MemberRecord, known: MemberRecord): MemberCondition {
    const removed = record.condition === MemberCondition.REMOVED
    if (!removed || record.identity.leaving || known.condition === MemberCondition.REMOVED) return record.condition
    return MemberCondition.SUSPECT
  }

  private _forgetOldestRemoved (): void {
    if (this._removedCount <= MAXIMUM_REMOVED) return
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
