import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { PeerMessenger } from '../peer-messenger.js'

type Handler = (params: unknown) => unknown

/** In-process network between nodes. Payloads are serialized as JSON, as on a real connection. */
export class LocalNetwork {
  /** Addresses that cannot be called and cannot call others. */
  readonly unreachable = new Set<string>()
  /** Number of calls by method. */
  readonly calls = new Map<string, number>()
  private readonly _handlers = new Map<string, Handler>()

  messenger (address: string): PeerMessenger {
    return {
      handle: (method, handler) => { this._handlers.set(`${address} ${method}`, handler) },
      call: async (peer, method, params) => {
        const handler = this._handlers.get(`${peer} ${method}`)
        if (handler === undefined || this.unreachable.has(peer) || this.unreachable.has(address)) {
          throw new MimosarockError(ResultCode.PEER_UNREACHABLE, 'the address is unreachable')
        }
        this.calls.set(method, (this.calls.get(method) ?? 0) + 1)
        return JSON.parse(JSON.stringify(await handler(JSON.parse(JSON.stringify(params)))))
      }
    }
  }
}
