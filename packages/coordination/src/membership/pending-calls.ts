import { JSONRPCClient } from 'json-rpc-2.0'
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { decodePeerError } from './decode-peer-error.js'
import type { PendingCall } from './pending-call.js'

/** The calls in flight on one connection, matched with their responses by id. */
export class PendingCalls {
  private readonly _client: JSONRPCClient
  private readonly _rejectFunctions = new Map<number, (error: Error) => void>()
  private _lastId = 0

  constructor () {
    // The connection writes the request itself, to know whether the call was sent.
    this._client = new JSONRPCClient(() => {})
  }

  /**
   * Registers a new call. The caller has to write its line to the connection.
   * @param method dotted method name
   * @param params JSON value
   */
  add (method: string, params: unknown): PendingCall {
    this._lastId += 1
    const id = this._lastId
    const request = { jsonrpc: '2.0' as const, id, method, params: params as object }
    const pendingResponse = new Promise<{ result: unknown }>((resolve, reject) => {
      this._rejectFunctions.set(id, reject)
      Promise.resolve(this._client.requestAdvanced(request)).then((response) => {
        this._rejectFunctions.delete(id)
        if (response.error) reject(decodePeerError(response.error))
        else resolve({ result: response.result })
      }, reject)
    })
    // A call may still fail after its caller has timed out; this prevents an unhandled rejection.
    pendingResponse.catch(() => {})
    return { id, line: JSON.stringify(request) + '\n', response: pendingResponse }
  }

  /**
   * Settles the call to which a response belongs. Responses to cancelled calls are ignored.
   * @param response the JSON-RPC 2.0 response
   */
  settle (response: JSONRPCResponse): void {
    this._client.receive(response)
  }

  /**
   * Cancels a call that has timed out.
   * @param id id of the call
   */
  cancel (id: number): void {
    this._rejectFunctions.delete(id)
    this._client.receive({ jsonrpc: '2.0', id, result: null })
  }

  /**
   * Rejects all calls in flight.
   * @param error the error with which each call is rejected
   */
  failAll (error: Error): void {
    for (const reject of this._rejectFunctions.values()) reject(error)
    this._rejectFunctions.clear()
    this._client.rejectAllPendingRequests(error.message)
  }
}
