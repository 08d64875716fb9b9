import { JSONRPCClient } from 'json-rpc-2.0'
import { Agent, request } from 'undici'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncRequest } from './sync-request.js'

/** Longest time for a question; two zones are some milliseconds apart. */
const CALL_TIMEOUT_MS = 450
/** Idle connections between routers; the questions follow each other faster. */
const IDLE_KEEP_MS = 4_000

/** Calls other routers by JSON-RPC 2.0 over HTTP. */
export class PeerRpcClient {
  private readonly _agent = new Agent({
    connections: 1, pipelining: 1, connectTimeout: CALL_TIMEOUT_MS, keepAliveTimeout: IDLE_KEEP_MS
  })

  /**
   * Asks a router for news.
   * @param address of the router, host:port
   * @param params what is asked and told
   * @throws Error if it does not answer in time
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

  /** Closes all connections. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }
}
