import { hash32 } from './hash32.js'
import { memberCodec } from './member-codec.js'
import { MemberCondition } from './member-condition.js'
import type { MemberRecord } from './member-record.js'

const BUCKET_COUNT = 64

/** Order-independent digest of all records that are not removed, updated in constant time for each change. */
export class MemberDigest {
  private readonly _members = new Uint32Array(BUCKET_COUNT)
  private _revisions = 0

  /**
   * Digest of ids, incarnations and flags. Two routers with the same digest assign the same owners to endpoints, unless
   * flap damping suppresses a router at only one of them.
   */
  get members (): number {
    return this._members.reduce((left, right) => (left ^ right) >>> 0, 0)
  }

  /** Digest of the configuration revisions that the routers report. */
  get revisions (): number {
    return this._revisions
  }

  /** Member digest of each bucket, in bucket order. */
  get buckets (): number[] {
    return [...this._members]
  }

  /**
   * Returns the index of the bucket that contains a router.
   * @param id the router's id
   */
  bucketOf (id: string): number {
    return hash32(id) % BUCKET_COUNT
  }

  /**
   * Adds a record to the digest, or deletes a record added before. Both are the same operation, since digests are combined by XOR.
   * @param record ignored if its condition is REMOVED
   */
  toggle (record: MemberRecord): void {
    if (record.condition === MemberCondition.REMOVED) return
    const bucket = this.bucketOf(record.identity.id)
    const member = hash32(`${record.identity.id}:${record.incarnation}:${memberCodec.flags(record)}`)
    this._members[bucket] = ((this._members[bucket] ?? 0) ^ member) >>> 0
    this._revisions = (this._revisions ^ hash32(`${record.identity.id}:${record.revision}`)) >>> 0
  }
}
