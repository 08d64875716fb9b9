import { z } from 'zod'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const Schema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string().min(1) })).min(1),
  stream: z.boolean().nullish()
})

/** The parts of a chat completion request that decide where it goes; the rest passes through unread. */
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

  /** The same request with a streamed answer, whose last chunk tells the usage. */
  streamedBody (): Buffer {
    return Buffer.from(JSON.stringify({ ...this._fields, stream: true, stream_options: { include_usage: true } }))
  }

  /**
   * Parses a body.
   * @param body the bytes of the request
   * @throws {MimosarockError} MALFORMED_JSON or INVALID_REQUEST, with the field
   */
  static parse (body: Buffer): ChatRequest {
    let value: unknown
    try {
      value = JSON.parse(body.toString('utf8'))
    } catch (error) {
      throw new MimosarockError(ResultCode.MALFORMED_JSON, 'the body is not JSON', { cause: error })
    }
    const result = Schema.safeParse(value)
    if (result.success) return new ChatRequest(result.data)
    const issue = result.error.issues[0]
    const field = issue?.path.join('.') ?? ''
    throw new MimosarockError(ResultCode.INVALID_REQUEST, `${field === '' ? 'body' : field}: ${issue?.message ?? 'invalid'}`, { field })
  }
}
