import { httpStatusOf } from '@mimosarock/schema/http-status-of.js'
import type { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'

const MS_PER_SECOND = 1_000

/**
 * An error response in RFC 9457 problem details format. Clients of the OpenAI API display the `error` member.
 */
export class Problem {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string

  /**
   * @param error determines the status, the body and the `retry-after` header
   * @param requestId id under which the request is logged
   */
  constructor (error: MimosarockError, requestId: string) {
    this.status = httpStatusOf(error.code)
    this.body = JSON.stringify({
      type: `urn:mimosarock:code:${error.code}`,
      title: error.message,
      status: this.status,
      code: error.code,
      run: error.run,
      field: error.field,
      retry_after_ms: error.retryAfterMs,
      request_id: requestId,
      error: { message: error.message, type: 'mimosarock_error', code: String(error.code), param: error.field ?? null }
    })
    this.headers = {
      'content-type': 'application/problem+json',
      'content-length': String(Buffer.byteLength(this.body)),
      'x-request-id': requestId,
      ...(error.retryAfterMs === undefined ? {} : { 'retry-after': String(Math.ceil(error.retryAfterMs / MS_PER_SECOND)) })
    }
  }
}
