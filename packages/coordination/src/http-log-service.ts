import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { countedConnector } from './counted-connector.js'
import type { TrafficCounter } from './membership/traffic-counter.js'
import { isConnectFailure } from './is-connect-failure.js'
import type { LogService } from './log-service.js'
import type { ReadOptions } from './read-options.js'
import type { ReadResult } from './read-result.js'

/** Bound on opening a connection. */
const CONNECT_TIMEOUT_MS = 1_000
/** Bound on an answer beyond a read's wait; callers may set a shorter one by their signal. */
const ANSWER_TIMEOUT_MS = 10_000
const DEFAULT_READ_LIMIT = 500
/** When to come back after a failure, in milliseconds. */
const RETRY_AFTER_MS = 1_000

/** A read's answer as it goes over the wire. */
interface WireReadResult {
  readonly oldest_offset: number
  readonly next_offset: number
  readonly records: ReadonlyArray<{ readonly offset: number, readonly data: string }>
}

/**
 * The platform's log service over HTTP. After a call that failed on an open connection every later call opens a
 * new one: what made one connection silent has often silenced the others as well, and each would cost a timeout.
 */
export class HttpLogService implements LogService {
  private readonly _url: string
  private readonly _traffic: TrafficCounter | undefined
  private _agent: Agent

  /**
   * @param url base URL of the log service
   * @param traffic counts what is written, as control traffic
   */
  constructor (url: string, traffic?: TrafficCounter) {
    this._url = url.replace(/\/$/, '')
    this._traffic = traffic
    this._agent = newAgent(traffic)
  }

  /**
   * Appends one record.
   * @param stream name of the stream
   * @param data the encoded record
   * @param signal ends the call; the record may still be appended
   * @returns the record's offset
   * @throws {MimosarockError} LOG_UNAVAILABLE; run state `not-run` if no byte was sent, else `unknown`
   */
  async append (stream: string, data: Uint8Array, signal?: AbortSignal): Promise<number> {
    if (signal?.aborted) throw unavailable('the append was given up', RunState.NOT_RUN)
    const answer = await this._call(this._path(stream), {
      method: 'POST',
      headers: { 'content-type': 'application/octet-stream' },
      body: data,
      signal: bounded(ANSWER_TIMEOUT_MS, signal)
    }) as { offset?: unknown }
    if (typeof answer.offset !== 'number') throw unavailable('the answer has no offset', RunState.UNKNOWN)
    return answer.offset
  }

  /**
   * Reads records.
   * @param stream name of the stream
   * @param fromOffset first offset wanted
   * @param options bounds on the read
   * @throws {MimosarockError} LOG_UNAVAILABLE
   */
  async read (stream: string, fromOffset: number, options: ReadOptions = {}): Promise<ReadResult> {
    const waitMs = options.waitMs ?? 0
    const query = `from=${fromOffset}&limit=${options.limit ?? DEFAULT_READ_LIMIT}&wait_ms=${Math.round(waitMs)}`
    const answer = await this._call(`${this._path(stream)}?${query}`, {
      method: 'GET',
      signal: bounded(waitMs + ANSWER_TIMEOUT_MS, options.signal)
    }) as WireReadResult
    if (!Array.isArray(answer.records)) throw unavailable('the answer has no records', RunState.NOT_RUN)
    return {
      oldestOffset: answer.oldest_offset,
      nextOffset: answer.next_offset,
      records: answer.records.map((record) => ({ offset: record.offset, data: Buffer.from(record.data, 'base64') }))
    }
  }

  /** Closes every connection. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }

  private _path (stream: string): string {
    return `${this._url}/v1/streams/${encodeURIComponent(stream)}/records`
  }

  private async _call (url: string, options: Partial<Dispatcher.RequestOptions>): Promise<unknown> {
    const agent = this._agent
    try {
      const answer = await request(url, { ...options, dispatcher: agent })
      const text = await answer.body.text()
      if (answer.statusCode < 200 || answer.statusCode > 299) throw new Error(`status ${answer.statusCode}`)
      return JSON.parse(text)
    } catch (error) {
      const run = isConnectFailure(error) ? RunState.NOT_RUN : RunState.UNKNOWN
      if (run === RunState.UNKNOWN) this._leave(agent)
      throw unavailable(String(error), run, error)
    }
  }

  /** Calls in flight end on their connections; new calls get new ones. */
  private _leave (agent: Agent): void {
    if (this._agent !== agent) return
    this._agent = newAgent(this._traffic)
    agent.close().catch(() => {})
  }
}

function newAgent (traffic?: TrafficCounter): Agent {
  return new Agent({ connect: countedConnector(CONNECT_TIMEOUT_MS, traffic), headersTimeout: 0, bodyTimeout: 0 })
}

function bounded (timeoutMs: number, signal?: AbortSignal): AbortSignal {
  const timeout = AbortSignal.timeout(timeoutMs)
  return signal === undefined ? timeout : AbortSignal.any([signal, timeout])
}

function unavailable (detail: string, run: RunState, cause?: unknown): MimosarockError {
  return new MimosarockError(ResultCode.LOG_UNAVAILABLE, `log service: ${detail}`, { run, cause, retryAfterMs: RETRY_AFTER_MS })
}
