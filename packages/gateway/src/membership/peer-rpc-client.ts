import { JSONRPCClient } from 'json-rpc-2.0'
import { Agent, request } from 'undici'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncRequest } from './sync-request.js'

/** Timeout of a request. The latency between two zones is a few milliseconds. */
const CALL_TIMEOUT_MS = 450
/** Keep-alive timeout of idle connections; longer than the interval between sync requests. */
const KEEP_ALIVE_MS = 4_000

/** Client for the JSON-RPC 2.0 interface of other routers, over HTTP. */
export class PeerRpcClient {
  private readonly _agent = new Agent({
    connections: 1, pipelining: 1, connectTimeout: CALL_TIMEOUT_MS, keepAliveTimeout: KEEP_ALIVE_MS
  })

  /**
   * Sends a sync request to a router.
   * @param address address of the router, host:port
   * @param params state and positions of this router
   * @throws Error if the router can't be reached or does not answer in time
   */
  async sync (address: string, params: SyncRequest): Promise<SyncAnswer> {
    const client = new JSONRPCClient(async (message) => {
      const answer = await request(`http://${address}/rpc`, {
        method: 'POST',
        dispatcher: this._agent,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(message),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
      })
      client.receive(await answer.body.json() as Parameters<typeof client.receive>[0])
    })
    return await client.request('fleet.sync', params) as SyncAnswer
  }

  /** Closes all connections and aborts requests in flight. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }
}
