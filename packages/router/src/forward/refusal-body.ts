import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { ResultCode } from '@mimosarock/schema/result-code.js'
import type { RunState } from '@mimosarock/schema/run-state.js'

/** Encodes the body of a refusal that one router sends to another. */
export class RefusalBody {
  /**
   * Encodes a refusal as JSON.
   * @param error its cause is not included
   */
  static encode (error: MimosarockError): string {
    const { code, message, run, retryAfterMs, field } = error
    return JSON.stringify({ code, message, run, retryAfterMs, field })
  }

  /**
   * Decodes a refusal.
   * @param text JSON produced by `encode`
   */
  static decode (text: string): MimosarockError {
    const body = JSON.parse(text) as { code: ResultCode, message: string, run: RunState, retryAfterMs?: number, field?: string }
    return new MimosarockError(body.code, body.message, body)
  }
}
