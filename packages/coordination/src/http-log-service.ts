import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { countedConnector } from './counted-connector.js'
import { readBoundedBody } from './http/read-bounded-body.js'
import type { TrafficCounter } from './membership/traffic-counter.js'
import { isConnectFailure } from './is-connect-failure.js'
import type { LogService } from './log-service.js'
import type { ReadOptions } from './read-options.js'
import type { ReadResult } from './read-result.js'

const CONNECT_TIMEOUT_MS = 1_000
/** Response timeout in addition to the wait of a read; callers can set a shorter one with their signal. */
const RESPONSE_TIMEOUT_MS = 10_000
const DEFAULT_READ_LIMIT = 500
/** Maximum length of a response to one call, in bytes. */
const MAXIMUM_RESPONSE_BYTES = 67_108_864
/** Retry delay suggested to the caller after a failure. */
const RETRY_AFTER_MS = 1_000

/** JSON body of the response to a read. */
interface WireReadResult {
  readonly oldest_offset: number
  readonly next_offset: number
  readonly records: ReadonlyArray<{ readonly offset: number, readonly data: string }>
}

/**
 * HTTP client for the platform's log service. After a request fails on an open connection, later requests use new
 * connections: a fault that makes one connection unresponsive has often affected the other pooled connections as well,
 * and each of them would cost a timeout.
 */
export class HttpLogService implements LogService {
  private readonly _url: string
  private readonly _traffic: TrafficCounter | undefined
  private _agent: Agent

  /**
   * @param url base URL of the log service
   * @param traffic counts the bytes written, as control traffic
   */
  constructor (url: string, traffic?: TrafficCounter) {
    this._url = url.replace(/\/$/, '')
    this._traffic = traffic
    this._agent = createAgent(traffic)
  }

  /**
   * Appends one record.
   * @param stream name of the stream
   * @param data encoded record
   * @param signal aborts the request; the record may still be appended
   * @returns offset of the record
   * @throws {MimosarockError} LOG_UNAVAILABLE; run state `not-run` if no byte was sent, otherwise `unknown`
   */
  async append (stream: string, data: Uint8Array, signal?: AbortSignal): Promise<number> {
    if (signal?.aborted) throw unavailable('the append was aborted', RunState.NOT_RUN)
    const response = await this._call(this._recordsUrl(stream), {
      method: 'POST',
      headers: { 'content-type': 'application/octet-stream' },
      body: data,
      signal: withTimeout(RESPONSE_TIMEOUT_MS, signal)
    }) as { offset?: unknown }
    if (typeof response.offset !== 'number') throw unavailable('the response has no offset', RunState.UNKNOWN)
    return response.offset
  }

  /**
   * Reads records in offset order.
   * @param stream name of the stream
   * @param fromOffset first offset to read
   * @param options limit, wait and abort signal of the read
   * @throws {MimosarockError} LOG_UNAVAILABLE
   */
  async read (stream: string, fromOffset: number, options: ReadOptions = {}): Promise<ReadResult> {
    const waitMs = options.waitMs ?? 0
    const query = `from=${fromOffset}&limit=${options.limit ?? DEFAULT_READ_LIMIT}&wait_ms=${Math.round(waitMs)}`
    const response = await this._call(`${this._recordsUrl(stream)}?${query}`, {
      method: 'GET',
      signal: withTimeout(waitMs + RESPONSE_TIMEOUT_MS, options.signal)
    }) as WireReadResult
    if (!Array.isArray(response.records)) throw unavailable('the response has no records', RunState.NOT_RUN)
    return {
      oldestOffset: response.oldest_offset,
      nextOffset: response.next_offset,
      records: response.records.map((record) => ({ offset: record.offset, data: Buffer.from(record.data, 'base64') }))
    }
  }

  /** Closes all connections and fails the requests in flight. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }

  private _recordsUrl (stream: string): string {
    return `${this._url}/v1/streams/${encodeURIComponent(stream)}/records`
  }

  private async _call (url: string, options: Partial<Dispatcher.RequestOptions>): Promise<unknown> {
    const agent = this._agent
    try {
      const response = await request(url, { ...options, dispatcher: agent })
      const text = (await readBoundedBody(response.body, MAXIMUM_RESPONSE_BYTES)).toString()
      if (response.statusCode < 200 || response.statusCode > 299) throw new Error(`status ${response.statusCode}`)
      return JSON.parse(text)
    } catch (error) {
      const run = isConnectFailure(error) ? RunState.NOT_RUN : RunState.UNKNOWN
      if (run === RunState.UNKNOWN) this._replaceAgent(agent)
      throw unavailable(String(error), run, error)
    }
  }

  /** Replaces the agent: requests in flight complete on their connections, later requests use new ones. */
  private _replaceAgent (agent: Agent): void {
    if (this._agent !== agent) return
    this._agent = createAgent(this._traffic)
    agent.close().catch(() => {})
  }
}

function createAgent (traffic?: TrafficCounter): Agent {
  return new Agent({ connect: countedConnector(CONNECT_TIMEOUT_MS, traffic), headersTimeout: 0, bodyTimeout: 0 })
}

function withTimeout (timeoutMs: number, signal?: AbortSignal): AbortSignal {
  const timeout = AbortSignal.timeout(timeoutMs)
  return signal === undefined ? timeout : AbortSignal.any([signal, timeout])
}

function unavailable (detail: string, run: RunState, cause?: unknown): MimosarockError {
  return new MimosarockError(ResultCode.LOG_UNAVAILABLE, `log service: ${detail}`, { run, cause, retryAfterMs: RETRY_AFTER_MS })
}
