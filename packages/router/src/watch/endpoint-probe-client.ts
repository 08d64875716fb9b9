import { DEFAULT_HEAD_LIMITS } from '@mimosarock/coordination/http/default-head-limits.js'
import { guardedConnector } from '@mimosarock/coordination/http/guarded-connector.js'
import { readBoundedBody } from '@mimosarock/coordination/http/read-bounded-body.js'
import { Client } from 'undici'
import type { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const SUCCESS_STATUS = 200
/** Timeout of an idle connection; the polls of load and cache events are frequent enough to reuse it. */
const IDLE_CONNECTION_MS = 15_000
/** What an endpoint may send in answer to one probe; pages of cache events are the longest. */
const RESPONSE_LIMITS = { ...DEFAULT_HEAD_LIMITS, responseBytes: 16_777_216 }

/** Reads the health, load and cache events of an endpoint over one connection, which counts as control traffic. */
export class EndpointProbeClient {
  private readonly _address: string
  private readonly _connectTimeoutMs: number
  private readonly _traffic: TrafficCounter
  private readonly _client: Client
  private _connections = 0

  /**
   * @param address IP address and port of the endpoint
   * @param connectTimeoutMs timeout for opening a connection, in milliseconds
   * @param traffic counts the bytes written
   */
  constructor (address: string, connectTimeoutMs: number, traffic: TrafficCounter) {
    this._address = address
    this._connectTimeoutMs = connectTimeoutMs
    this._traffic = traffic
    this._client = this._open()
  }

  /** Number of connections opened so far; if it changes between two reads, the endpoint may have restarted. */
  get connections (): number {
    return this._connections
  }

  /**
   * Fetches a JSON value; a body that is not JSON is returned as text. A request that times out destroys its
   * connection, and the next one opens a new connection.
   * @param path path and query string
   * @param timeoutMs timeout of the complete request, in milliseconds
   * @param signal aborts the request
   * @returns the parsed body; undefined if the body is empty
   * @throws {MimosarockError} ENDPOINT_SILENT after the timeout, ENDPOINT_FAILED otherwise
   */
  async getJson (path: string, timeoutMs: number, signal: AbortSignal): Promise<unknown> {
    const timeout = AbortSignal.timeout(timeoutMs)
    try {
      const response = await this._client.request({ method: 'GET', path, signal: AbortSignal.any([signal, timeout]) })
      const text = (await readBoundedBody(response.body, RESPONSE_LIMITS.responseBytes)).toString()
      if (response.statusCode !== SUCCESS_STATUS) throw new Error(`status ${response.statusCode}`)
      return text === '' ? undefined : parse(text)
    } catch (cause) {
      if (!timeout.aborted) throw new MimosarockError(ResultCode.ENDPOINT_FAILED, `request to ${this._address}${path} failed`, { cause })
      throw new MimosarockError(ResultCode.ENDPOINT_SILENT, `request to ${this._address}${path} exceeded the timeout of ${timeoutMs} ms`, { cause })
    }
  }

  /** Closes the connection. */
  async close (): Promise<void> {
    await this._client.destroy()
  }

  private _open (): Client {
    return new Client(`http://${this._address}`, {
      connect: guardedConnector(this._connectTimeoutMs, RESPONSE_LIMITS, (socket) => {
        this._connections += 1
        this._traffic.watch(socket)
      }),
      keepAliveTimeout: IDLE_CONNECTION_MS,
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }
}

// Health responses may be plain text.
function parse (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
