import { createHash } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import type { StoredAnswer } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { StoredAnswerSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { KeyedAnswer } from './keyed-answer.js'

/** Names the header that marks an answer which was given before. */
const REPLAYED_HEADER = 'idempotency-replayed'

/** Turns answers into what the ledger keeps, and back. */
export class StoredAnswers {
  private readonly _maximumBytes: number

  /**
   * @param maximumBytes largest body that is kept whole
   */
  constructor (maximumBytes: number) {
    this._maximumBytes = maximumBytes
  }

  /**
   * What the ledger keeps of an answer.
   * @param answer the endpoint's answer
   */
  pack (answer: KeyedAnswer): StoredAnswer {
    const dropped = answer.body.length > this._maximumBytes
    return create(StoredAnswerSchema, {
      status: answer.status,
      contentType: answer.headers['content-type'] ?? '',
      body: dropped ? new Uint8Array() : answer.body,
      bodyDropped: dropped,
      bodyDigest: createHash('sha256').update(answer.body).digest()
    })
  }

  /**
   * The answer for a later call with the same key.
   * @param stored what the ledger kept
   */
  unpack (stored: StoredAnswer): KeyedAnswer {
    const headers: Record<string, string> = { [REPLAYED_HEADER]: 'true' }
    if (stored.contentType !== '') headers['content-type'] = stored.contentType
    return { status: stored.status, headers, body: stored.body }
  }
}
