import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { MemberCondition } from './member-condition.js'
import type { MemberRecord } from './member-record.js'

/** Flag of a leaving router, combined with its condition. */
const LEAVING_FLAG = 4
const CONDITION_MASK = 3

/** A record on the wire: id, incarnation, flags, revision, availability zone, peer address, forward address. */
type EncodedMember = readonly [string, number, number, number, string, string, string]

/** Encodes member records as compact JSON arrays, and decodes them. */
export const memberCodec = {
  /**
   * Returns the condition and the leaving flag of a record, combined in one integer.
   * @param record the record whose flags are encoded
   */
  flags (record: MemberRecord): number {
    return record.condition + (record.identity.leaving ? LEAVING_FLAG : 0)
  },

  /**
   * Encodes a record with all its fields.
   * @param record the record to encode
   */
  encode (record: MemberRecord): EncodedMember {
    const { id, availabilityZone, peerAddress, forwardAddress } = record.identity
    return [id, record.incarnation, memberCodec.flags(record), record.revision, availabilityZone, peerAddress, forwardAddress]
  },

  /**
   * Decodes a record and validates the types of its fields.
   * @param value JSON value received from a peer; further array elements are ignored
   * @throws {MimosarockError} PEER_PROTOCOL if the value is not an encoded record
   */
  decode (value: unknown): MemberRecord {
    const fields = value as EncodedMember
    const valid = Array.isArray(value) && value.length >= 7 &&
      [0, 4, 5, 6].every((index) => typeof value[index] === 'string') &&
      [1, 2, 3].every((index) => Number.isSafeInteger(value[index]) && Number(value[index]) >= 0)
    if (!valid) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'malformed member record')
    const [id, incarnation, flags, revision, availabilityZone, peerAddress, forwardAddress] = fields
    const leaving = (flags & LEAVING_FLAG) !== 0
    return {
      identity: { id, availabilityZone, peerAddress, forwardAddress, leaving },
      incarnation,
      condition: Math.min(flags & CONDITION_MASK, 2) as MemberCondition,
      revision
    }
  }
}
