import { JSONRPCServer } from 'json-rpc-2.0'
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { encodePeerError } from './encode-peer-error.js'

/** The JSON-RPC 2.0 methods that peers may call at this router. */
export class PeerMethods {
  private readonly _server = new JSONRPCServer({ errorListener: () => {} })

  constructor () {
    this._server.mapErrorToJSONRPCErrorResponse = encodePeerError
    this._server.addMethod('ping', () => 0)
  }

  /**
   * Registers the handler of a method.
   * @param method dotted method name
   * @param handler receives the params, not validated, and returns the JSON result; undefined is sent as null
   */
  handle (method: string, handler: (params: unknown) => unknown | Promise<unknown>): void {
    this._server.addMethod(method, async (params) => (await handler(params)) ?? null)
  }

  /**
   * Parses a line and runs the method that it calls.
   * @param line a JSON-RPC 2.0 request or notification
   * @returns the response; undefined for a notification
   * @throws {MimosarockError} PEER_PROTOCOL if the line is not valid JSON
   */
  async handleLine (line: string): Promise<JSONRPCResponse | undefined> {
    const request = this._parse(line)
    const response = await this._server.receive(request)
    return response ?? undefined
  }

  private _parse (line: string): any {
    try {
      return JSON.parse(line)
    } catch (cause) {
      throw new MimosarockError(ResultCode.PEER_PROTOCOL, 'line is not valid JSON', { cause })
    }
  }
}
