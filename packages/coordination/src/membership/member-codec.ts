import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { MemberCondition } from './member-condition.js'
import type { MemberRecord } from './member-record.js'

/** Added to the condition of a router that leaves. */
const LEAVING_FLAG = 4
const CONDITION_MASK = 3

/** A record as it travels: id, incarnation, flags, revision, availability zone, peer address, forward address. */
type EncodedMember = readonly [string, number, number, number, string, string, string]

/** Turns member records into compact JSON arrays and back. */
export const memberCodec = {
  /**
   * Condition and leaving mark in one number.
   * @param record the record
   */
  flags (record: MemberRecord): number {
    return record.condition + (record.identity.leaving ? LEAVING_FLAG : 0)
  },

  /**
   * Encodes a whole record.
   * @param record the record
   */
  encode (record: MemberRecord): EncodedMember {
    const { id, availabilityZone, peerAddress, forwardAddress } = record.identity
    return [id, record.incarnation, memberCodec.flags(record), record.revision, availabilityZone, peerAddress, forwardAddress]
  },

  /**
   * Decodes a whole record.
   * @param value what arrived
   * @throws {MimosarockError} PEER_PROTOCOL
   */
  decode (value: unknown): MemberRecord {
    const fields = value as EncodedMember
    const valid = Array.isArray(value) && value.length >= 7 &&
      [0, 4, 5, 6].every((index) => typeof value[index] === 'string') &&
      [1, 2, 3].every((index) => Number.isSafeInteger(value[index]) && Number(value[index]) >= 0)
    if (!valid) throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'a member record is malformed')
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
