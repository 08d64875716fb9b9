import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { PeerMessenger } from '../peer-messenger.js'

type Handler = (params: unknown) => unknown

/** Calls between nodes of one process; payloads go through JSON as over a connection. */
export class LocalNetwork {
  /** Addresses that can't be reached. */
  readonly cut = new Set<string>()
  /** Calls by method. */
  readonly calls = new Map<string, number>()
  private readonly _handlers = new Map<string, Handler>()

  messenger (address: string): PeerMessenger {
    return {
      handle: (method, handler) => { this._handlers.set(`${address} ${method}`, handler) },
      call: async (peer, method, params) => {
        const handler = this._handlers.get(`${peer} ${method}`)
        if (handler === undefined || this.cut.has(peer) || this.cut.has(address)) {
          throw new MimosarockError(ResultCode.PEER_UNREACHABLE, 'the link is cut')
        }
        this.calls.set(method, (this.calls.get(method) ?? 0) + 1)
        return JSON.parse(JSON.stringify(await handler(JSON.parse(JSON.stringify(params)))))
      }
    }
  }
}
