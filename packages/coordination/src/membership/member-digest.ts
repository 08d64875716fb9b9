import { hash32 } from './hash32.js'
import { memberCodec } from './member-codec.js'
import { MemberCondition } from './member-condition.js'
import type { MemberRecord } from './member-record.js'

const BUCKETS = 64

/** Digest of all records that are not removed, kept up to date in constant time for each change. */
export class MemberDigest {
  private readonly _members = new Uint32Array(BUCKETS)
  private _revisions = 0

  /** Digest of who is there, in which incarnation and condition: two routers with the same one see the same owners. */
  get members (): number {
    return this._members.reduce((left, right) => (left ^ right) >>> 0, 0)
  }

  /** Digest of the revisions that the routers report. */
  get revisions (): number {
    return this._revisions
  }

  /** Digests of the records of each bucket. */
  get buckets (): number[] {
    return [...this._members]
  }

  /**
   * Bucket of a router.
   * @param id the router's id
   */
  bucketOf (id: string): number {
    return hash32(id) % BUCKETS
  }

  /**
   * Adds a record, or takes it out again: both are the same operation.
   * @param record the record; a removed one changes nothing
   */
  toggle (record: MemberRecord): void {
    if (record.condition === MemberCondition.REMOVED) return
    const bucket = this.bucketOf(record.identity.id)
    const member = hash32(`${record.identity.id}:${record.incarnation}:${memberCodec.flags(record)}`)
    this._members[bucket] = ((this._members[bucket] ?? 0) ^ member) >>> 0
    this._revisions = (this._revisions ^ hash32(`${record.identity.id}:${record.revision}`)) >>> 0
  }
}
