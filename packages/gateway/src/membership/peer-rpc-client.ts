import { JSONRPCClient, type JSONRPCResponse } from 'json-rpc-2.0'
import { Agent, request } from 'undici'
import { PeerCallError } from './peer-call-error.js'
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

  private readonly _onBytes: (bytes: number) => void

  /**
   * @param onBytes called with the number of bytes of each received part of a response
   */
  constructor (onBytes: (bytes: number) => void) {
    this._onBytes = onBytes
  }

  /**
   * Sends a sync request to a router.
   * @param address address of the router, host:port
   * @param params state and positions of this router
   * @throws PeerCallError if the router can't be reached or does not answer in time
   */
  async sync (address: string, params: SyncRequest): Promise<SyncAnswer> {
    const client = new JSONRPCClient(async (message) => {
      client.receive(await this._post(address, JSON.stringify(message)))
    })
    return await client.request('fleet.sync', params) as SyncAnswer
  }

  /** Closes all connections and aborts requests in flight. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }

  private async _post (address: string, message: string): Promise<JSONRPCResponse> {
    const startedAt = performance.now()
    const chunks: Buffer[] = []
    let receivedBytes = 0
    let expectedBytes: number | undefined
    try {
      const response = await request(`http://${address}/rpc`, {
        method: 'POST',
        dispatcher: this._agent,
        headers: { 'content-type': 'application/json' },
        body: message,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
      })
      expectedBytes = Number(response.headers['content-length'])
      for await (const chunk of response.body) {
        chunks.push(chunk as Buffer)
        receivedBytes += (chunk as Buffer).length
        this._onBytes((chunk as Buffer).length)
      }
      return JSON.parse(Buffer.concat(chunks).toString()) as JSONRPCResponse
    } catch (error) {
      throw new PeerCallError(error as Error, performance.now() - startedAt, receivedBytes, expectedBytes)
    }
  }
}
