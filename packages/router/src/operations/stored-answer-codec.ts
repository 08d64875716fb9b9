import { createHash } from 'node:crypto'
import { create } from '@bufbuild/protobuf'
import type { StoredAnswer } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { StoredAnswerSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { KeyedResponse } from './keyed-response.js'

/** Response header that marks a response as replayed from the ledger. */
const REPLAYED_HEADER = 'idempotency-replayed'

/** Converts responses to the form stored in the ledger, and back. Of the headers only the content type is stored. */
export class StoredAnswerCodec {
  private readonly _maximumBytes: number

  /**
   * @param maximumBytes maximum size of a stored body; of a larger one only the digest is stored
   */
  constructor (maximumBytes: number) {
    this._maximumBytes = maximumBytes
  }

  /**
   * Returns the form in which the ledger stores a response.
   * @param response the endpoint's response
   */
  encode (response: KeyedResponse): StoredAnswer {
    const isTooLarge = response.body.length > this._maximumBytes
    return create(StoredAnswerSchema, {
      status: response.status,
      contentType: response.headers['content-type'] ?? '',
      body: isTooLarge ? new Uint8Array() : response.body,
      bodyDropped: isTooLarge,
      bodyDigest: createHash('sha256').update(response.body).digest()
    })
  }

  /**
   * Returns the response to a later call with the same key, marked as replayed.
   * @param stored response as stored in the ledger
   */
  decode (stored: StoredAnswer): KeyedResponse {
    const headers: Record<string, string> = { [REPLAYED_HEADER]: 'true' }
    if (stored.contentType !== '') headers['content-type'] = stored.contentType
    return { status: stored.status, headers, body: stored.body }
  }
}
