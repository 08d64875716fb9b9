import { z } from 'zod'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const Schema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string().min(1) })).min(1),
  stream: z.boolean().nullish()
})

/** The fields of a chat completion request that the router reads; all other fields pass through unchecked. */
export class ChatRequest {
  readonly model: string
  readonly messages: readonly Readonly<Record<string, unknown>>[]
  readonly stream: boolean
  private readonly _fields: z.infer<typeof Schema>

  private constructor (fields: z.infer<typeof Schema>) {
    this._fields = fields
    this.model = fields.model
    this.messages = fields.messages
    this.stream = fields.stream ?? false
  }

  /** Returns the body of the same request with streaming enabled and token usage in the last chunk. */
  streamedBody (): Buffer {
    return Buffer.from(JSON.stringify({ ...this._fields, stream: true, stream_options: { include_usage: true } }))
  }

  /**
   * Parses and validates a request body.
   * @param body JSON in UTF-8
   * @throws {MimosarockError} MALFORMED_JSON, or INVALID_REQUEST with the path of the invalid field
   */
  static parse (body: Buffer): ChatRequest {
    let value: unknown
    try {
      value = JSON.parse(body.toString('utf8'))
    } catch (error) {
      throw new MimosarockError(ResultCode.MALFORMED_JSON, 'the body is not valid JSON', { cause: error })
    }
    const result = Schema.safeParse(value)
    if (result.success) return new ChatRequest(result.data)
    const issue = result.error.issues[0]
    const field = issue?.path.join('.') ?? ''
    throw new MimosarockError(ResultCode.INVALID_REQUEST, `${field === '' ? 'body' : field}: ${issue?.message ?? 'invalid'}`, { field })
  }
}
