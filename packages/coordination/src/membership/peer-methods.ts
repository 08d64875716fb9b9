import { JSONRPCServer } from 'json-rpc-2.0'
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { encodePeerError } from './encode-peer-error.js'

/** The methods that this router answers to its peers. */
export class PeerMethods {
  private readonly _server = new JSONRPCServer({ errorListener: () => {} })

  constructor () {
    this._server.mapErrorToJSONRPCErrorResponse = encodePeerError
    this._server.addMethod('ping', () => 0)
  }

  /**
   * Registers what answers a method.
   * @param method dotted method name
   * @param handler gets the params and returns the JSON result
   */
  handle (method: string, handler: (params: unknown) => unknown | Promise<unknown>): void {
    this._server.addMethod(method, async (params) => (await handler(params)) ?? null)
  }

  /**
   * Answers one line.
   * @param line a json-rpc-2.0 request or notification
   * @returns undefined for a notification
   * @throws {MimosarockError} PEER_PROTOCOL if the line is no JSON
   */
  async answer (line: string): Promise<JSONRPCResponse | undefined> {
    const request = this._parse(line)
    const answer = await this._server.receive(request)
    return answer ?? undefined
  }

  private _parse (line: string): any {
    try {
      return JSON.parse(line)
    } catch (cause) {
      throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'a line is no JSON', { cause })
    }
  }
}
