import { JSONRPCClient } from 'json-rpc-2.0'
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { decodePeerError } from './decode-peer-error.js'
import type { PendingCall } from './pending-call.js'

/** The calls of one connection that wait for their answers. */
export class PendingCalls {
  private readonly _client: JSONRPCClient
  private readonly _rejections = new Map<number, (error: Error) => void>()
  private _lastId = 0

  constructor () {
    // The connection writes the line itself, so that it knows whether the call was sent.
    this._client = new JSONRPCClient(() => {})
  }

  /**
   * Makes a call and waits for its answer.
   * @param method dotted method name
   * @param params JSON value
   */
  add (method: string, params: unknown): PendingCall {
    this._lastId += 1
    const id = this._lastId
    const request = { jsonrpc: '2.0' as const, id, method, params: params as object }
    const answer = new Promise<{ result: unknown }>((resolve, reject) => {
      this._rejections.set(id, reject)
      Promise.resolve(this._client.requestAdvanced(request)).then((response) => {
        this._rejections.delete(id)
        if (response.error) reject(decodePeerError(response.error))
        else resolve({ result: response.result })
      }, reject)
    })
    // A call whose caller has given up may still fail later.
    answer.catch(() => {})
    return { id, line: JSON.stringify(request) + '\n', answer }
  }

  /**
   * Takes an answer; one to a forgotten call is dropped.
   * @param response the json-rpc-2.0 answer
   */
  settle (response: JSONRPCResponse): void {
    this._client.receive(response)
  }

  /**
   * Drops a call whose caller has given up.
   * @param id the call's id
   */
  forget (id: number): void {
    this._rejections.delete(id)
    this._client.receive({ jsonrpc: '2.0', id, result: null })
  }

  /**
   * Fails every call that waits.
   * @param error why
   */
  failAll (error: Error): void {
    for (const reject of this._rejections.values()) reject(error)
    this._rejections.clear()
    this._client.rejectAllPendingRequests(error.message)
  }
}
