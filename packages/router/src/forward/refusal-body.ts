import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import type { ResultCode } from '@mimosarock/schema/result-code.js'
import type { RunState } from '@mimosarock/schema/run-state.js'

/** A refusal as one router tells it another. */
export class RefusalBody {
  /**
   * Encodes a refusal.
   * @param error the refusal
   */
  static encode (error: MimosarockError): string {
    const { code, message, run, retryAfterMs, field } = error
    return JSON.stringify({ code, message, run, retryAfterMs, field })
  }

  /**
   * Decodes a refusal.
   * @param text what encode gave
   */
  static decode (text: string): MimosarockError {
    const body = JSON.parse(text) as { code: ResultCode, message: string, run: RunState, retryAfterMs?: number, field?: string }
    return new MimosarockError(body.code, body.message, body)
  }
}
