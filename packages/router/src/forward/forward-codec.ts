import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { DispatchCall } from './dispatch-call.js'

/** Writes a call, without its body, into a header of a forward and reads it back. */
export class ForwardCodec {
  /** Header that carries the call. */
  static readonly CALL_HEADER = 'mimosarock-call'
  /** Header of an answer that is a refusal; its value is the numbered code. */
  static readonly REFUSAL_HEADER = 'mimosarock-refusal'
  /** Header that names the endpoint that answers. */
  static readonly ENDPOINT_HEADER = 'mimosarock-endpoint'

  /**
   * Encodes all of a call but its body.
   * @param call the call
   */
  static encode (call: DispatchCall): string {
    const head = { ...call, body: undefined }
    return Buffer.from(JSON.stringify(head)).toString('base64url')
  }

  /**
   * Decodes a call.
   * @param text value of the call header
   * @param body the forward's body
   * @throws {MimosarockError} PEER_PROTOCOL
   */
  static decode (text: string | undefined, body: DispatchCall['body']): DispatchCall {
    try {
      const head = JSON.parse(Buffer.from(text ?? '', 'base64url').toString()) as DispatchCall
      return { ...head, body }
    } catch (error) {
      throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'the forwarded call can not be read', { cause: error })
    }
  }
}
