import { promisify } from 'node:util'
import { gunzip } from 'node:zlib'
import { DEFAULT_HEAD_LIMITS } from '@mimosarock/coordination/http/default-head-limits.js'
import { guardedConnector } from '@mimosarock/coordination/http/guarded-connector.js'
import { readBoundedBody } from '@mimosarock/coordination/http/read-bounded-body.js'
import { createJSONRPCRequest, type JSONRPCParams, type JSONRPCResponse } from 'json-rpc-2.0'
import { Agent, request } from 'undici'
import type { ConfigurationNews } from '../transfers/configuration-news.js'
import type { ConfigurationRequest } from '../transfers/configuration-request.js'
import type { ConfigurationUpdate } from '../transfers/configuration-update.js'
import { PeerCallError } from './peer-call-error.js'
import type { PeerCalls } from './peer-calls.js'
import { ProgressTimeout } from './progress-timeout.js'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncRequest } from './sync-request.js'
import type { TimeLimits } from './time-limits.js'
import type { TransferAttempt } from '../transfers/transfer-attempt.js'

/** Connect timeout. The latency between two zones is a few milliseconds. */
const CONNECT_TIMEOUT_MS = 450
/** Limits of a sync request. A long answer, such as that to the first request, may take a while on a slow link. */
const SYNC_LIMITS = { progressMs: 450, totalMs: 3_000 }
/** Limits of a transfer. Its sender may have several to send at a time. */
const TRANSFER_LIMITS = { progressMs: 1_000, totalMs: 15_000 }
/** Maximum length of a response with its head, and of its decompressed body, in bytes. A long one is compressed. */
const RESPONSE_LIMITS = { ...DEFAULT_HEAD_LIMITS, responseBytes: 16_777_216 }
const MAXIMUM_DECOMPRESSED_BYTES = 67_108_864
/** Keep-alive timeout of idle connections; longer than the interval between sync requests. */
const KEEP_ALIVE_MS = 4_000

/** Aborts a call and is told of its progress. */
type Attempt = Pick<TransferAttempt, 'signal' | 'recordProgress'>

const decompress = promisify(gunzip)

/** Client for the JSON-RPC 2.0 interface of other routers, over HTTP. */
export class PeerRpcClient implements PeerCalls {
  private readonly _syncAgent = createAgent()
  /** Transfers have connections of their own, so that sync requests don't wait for them. */
  private readonly _transferAgent = createAgent()

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
    return await this._request(address, 'fleet.sync', params, this._syncAgent, SYNC_LIMITS) as SyncAnswer
  }

  /**
   * Asks a router for a newer configuration, or a source of it.
   * @param address address of the router, host:port
   * @param params version of this router
   * @throws PeerCallError if the router can't be reached or does not answer in time
   */
  async configurationNews (address: string, params: ConfigurationRequest): Promise<ConfigurationNews> {
    return await this._request(address, 'fleet.configurationNews', params, this._syncAgent, SYNC_LIMITS) as ConfigurationNews
  }

  /**
   * Requests a change of the configuration from a router.
   * @param address address of the router, host:port
   * @param fromVersion version of this router's configuration
   * @param attempt aborts the call, and is told of its progress
   * @throws PeerCallError if the router can't be reached, if the response stops arriving, or if the call is aborted
   */
  async configurationUpdate (address: string, fromVersion: number, attempt: Attempt): Promise<ConfigurationUpdate> {
    return await this._request(address, 'fleet.configuration', { fromVersion }, this._transferAgent, TRANSFER_LIMITS, attempt) as ConfigurationUpdate
  }

  /** Closes all connections and aborts requests in flight. */
  async close (): Promise<void> {
    await Promise.all([this._syncAgent.destroy(), this._transferAgent.destroy()])
  }

  private async _request (address: string, method: string, params: unknown, dispatcher: Agent, limits: TimeLimits, attempt?: Attempt): Promise<unknown> {
    // Each HTTP request carries a single call, so its id has no meaning.
    const message = JSON.stringify(createJSONRPCRequest(1, method, params as JSONRPCParams))
    const { error, result } = await this._post(address, message, dispatcher, limits, attempt)
    if (error !== undefined) throw new Error(`${method} failed: ${error.message}`)
    return result
  }

  private async _post (address: string, message: string, dispatcher: Agent, limits: TimeLimits, attempt?: Attempt): Promise<JSONRPCResponse> {
    const startedAt = performance.now()
    const timeout = new ProgressTimeout(limits)
    let receivedBytes = 0
    let expectedBytes: number | undefined
    try {
      const response = await request(`http://${address}/rpc`, {
        method: 'POST',
        dispatcher,
        headers: { 'content-type': 'application/json' },
        body: message,
        signal: attempt === undefined ? timeout.signal : AbortSignal.any([timeout.signal, attempt.signal])
      })
      timeout.recordProgress()
      expectedBytes = Number(response.headers['content-length'])
      const fullBytes = expectedBytes
      const body = await readBoundedBody(response.body, RESPONSE_LIMITS.responseBytes, (partBytes, bytes) => {
        timeout.recordProgress()
        receivedBytes = bytes
        this._onBytes(partBytes)
        attempt?.recordProgress(bytes / fullBytes)
      })
      const isCompressed = response.headers['content-encoding'] === 'gzip'
      const text = isCompressed ? await decompress(body, { maxOutputLength: MAXIMUM_DECOMPRESSED_BYTES }) : body
      return JSON.parse(text.toString()) as JSONRPCResponse
    } catch (error) {
      throw new PeerCallError(error as Error, performance.now() - startedAt, receivedBytes, expectedBytes)
    } finally {
      timeout.stop()
    }
  }
}

function createAgent (): Agent {
  return new Agent({ connections: 1, pipelining: 1, connect: guardedConnector(CONNECT_TIMEOUT_MS, RESPONSE_LIMITS), keepAliveTimeout: KEEP_ALIVE_MS })
}
