import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { DispatchCall } from './dispatch-call.js'

/** Encodes a call without its body as a header of a forwarded request and decodes it. */
export class ForwardCodec {
  /** Request header that contains the encoded call. */
  static readonly CALL_HEADER = 'mimosarock-call'
  /** Header that marks a response as a refusal; its value is the result code. */
  static readonly REFUSAL_HEADER = 'mimosarock-refusal'
  /** Response header that names the endpoint that sent the response. */
  static readonly ENDPOINT_HEADER = 'mimosarock-endpoint'

  /**
   * Encodes all fields of a call except its body.
   * @param call its headers are included in the encoded text
   */
  static encode (call: DispatchCall): string {
    const head = { ...call, body: undefined }
    return Buffer.from(JSON.stringify(head)).toString('base64url')
  }

  /**
   * Decodes a call.
   * @param text value of the call header
   * @param body body of the forwarded request, which becomes the body of the call
   * @throws {MimosarockError} PEER_PROTOCOL if the header is missing or malformed
   */
  static decode (text: string | undefined, body: DispatchCall['body']): DispatchCall {
    try {
      const head = JSON.parse(Buffer.from(text ?? '', 'base64url').toString()) as DispatchCall
      return { ...head, body }
    } catch (error) {
      throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'the forwarded call is malformed', { cause: error })
    }
  }
}
