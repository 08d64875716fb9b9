import type { Socket } from 'node:net'
import { Client, buildConnector } from 'undici'
import type { TrafficCounter } from '@mimosarock/coordination/membership/traffic-counter.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

const SUCCESS_STATUS = 200
/** The load and cache event polls come often enough to keep a connection; an idle one is dropped after this. */
const IDLE_CONNECTION_MS = 15_000

/** Reads an endpoint's reports over one connection that counts as control traffic. */
export class EndpointProbeClient {
  private readonly _address: string
  private readonly _connectTimeoutMs: number
  private readonly _traffic: TrafficCounter
  private readonly _client: Client
  private _connections = 0

  /**
   * @param address IP number and port of the endpoint
   * @param connectTimeoutMs bound on opening a connection, in milliseconds
   * @param traffic counts what is written
   */
  constructor (address: string, connectTimeoutMs: number, traffic: TrafficCounter) {
    this._address = address
    this._connectTimeoutMs = connectTimeoutMs
    this._traffic = traffic
    this._client = this._open()
  }

  /** Connections opened so far; a change between two reads shows that the endpoint may have restarted. */
  get connections (): number {
    return this._connections
  }

  /**
   * Reads a JSON value. Giving up on an answer destroys its connection, so the next read opens a new one.
   * @param path path and query at the endpoint
   * @param timeoutMs bound on the whole call, in milliseconds
   * @param signal ends the call
   * @throws {MimosarockError} ENDPOINT_SILENT if the time passed, ENDPOINT_FAILED otherwise
   */
  async getJson (path: string, timeoutMs: number, signal: AbortSignal): Promise<unknown> {
    const timeout = AbortSignal.timeout(timeoutMs)
    try {
      const answer = await this._client.request({ method: 'GET', path, signal: AbortSignal.any([signal, timeout]) })
      const text = await answer.body.text()
      if (answer.statusCode !== SUCCESS_STATUS) throw new Error(`status ${answer.statusCode}`)
      return text === '' ? undefined : parse(text)
    } catch (cause) {
      if (!timeout.aborted) throw new MimosarockError(ResultCode.ENDPOINT_FAILED, `${this._address}${path} failed`, { cause })
      throw new MimosarockError(ResultCode.ENDPOINT_SILENT, `${this._address}${path} took over ${timeoutMs} ms`, { cause })
    }
  }

  /** Closes the connection. */
  async close (): Promise<void> {
    await this._client.destroy()
  }

  private _open (): Client {
    const connector = buildConnector({ timeout: this._connectTimeoutMs })
    return new Client(`http://${this._address}`, {
      connect: (options, callback) => connector(options, (...result) => {
        // A failed connect gives undefined, although its type says null.
        const socket = result[1] as Socket | null | undefined
        if (socket !== null && socket !== undefined) {
          this._connections += 1
          this._traffic.watch(socket)
        }
        callback(...result)
      }),
      keepAliveTimeout: IDLE_CONNECTION_MS,
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }
}

// Health answers may be plain text.
function parse (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
