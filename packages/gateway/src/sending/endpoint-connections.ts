import { DEFAULT_HEAD_LIMITS } from '@mimosarock/coordination/http/default-head-limits.js'
import { guardedConnector } from '@mimosarock/coordination/http/guarded-connector.js'
import { Pool } from 'undici'
import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Timeout for establishing a connection; an endpoint accepts within milliseconds or not at all. */
const CONNECT_TIMEOUT_MS = 600
/** Idle timeout of a connection; most endpoints use a longer one and announce it. */
const IDLE_TIMEOUT_MS = 3_000
/** Margin before the idle timeout that the endpoint announced, at which a connection is closed. */
const IDLE_MARGIN_MS = 1_000
/**
 * Idle timeout of a connection for calls that may run at most once. A connection that has been idle for longer may be closed
 * by the endpoint while the call is being sent, and it would be unknown whether the call ran.
 */
const SHORT_IDLE_TIMEOUT_MS = 250

/** Connection pools of one endpoint. */
interface EndpointPools {
  readonly address: string
  readonly regular: Pool
  readonly shortIdle: Pool
}

/** Connection pools of all endpoints: for each one a pool for calls that may be repeated and a pool for calls that may not. */
export class EndpointConnections {
  private readonly _pools = new Map<string, EndpointPools>()
  private readonly _maximumResponseBytes: () => number

  /**
   * @param maximumResponseBytes returns the maximum length of a response, in bytes; it holds for the connections of pools that are created from then on
   */
  constructor (maximumResponseBytes: () => number) {
    this._maximumResponseBytes = maximumResponseBytes
  }

  /**
   * Returns the connection pool for a call and creates it on first use or after a change of the endpoint's address.
   * @param endpoint target of the call
   * @param mayRepeat whether the call may be sent again if the connection turns out to be closed
   * @param maximumConnections maximum number of connections per pool, applied when the pool is created
   */
  pool (endpoint: EndpointEntry, mayRepeat: boolean, maximumConnections: number): Pool {
    let pools = this._pools.get(endpoint.id)
    if (pools !== undefined && pools.address !== endpoint.address) {
      this.close(endpoint.id)
      pools = undefined
    }
    if (pools === undefined) {
      pools = {
        address: endpoint.address,
        regular: this._createPool(endpoint.address, IDLE_TIMEOUT_MS, maximumConnections),
        shortIdle: this._createPool(endpoint.address, SHORT_IDLE_TIMEOUT_MS, maximumConnections)
      }
      this._pools.set(endpoint.id, pools)
    }
    return mayRepeat ? pools.regular : pools.shortIdle
  }

  /**
   * Closes the connections to an endpoint as soon as the calls on them have ended.
   * @param endpointId id of the endpoint
   */
  close (endpointId: string): void {
    const pools = this._pools.get(endpointId)
    if (pools === undefined) return
    this._pools.delete(endpointId)
    // Closing a pool lets its calls finish in the background; there is nothing to await, and an error would have no effect.
    pools.regular.close().catch(() => undefined)
    pools.shortIdle.close().catch(() => undefined)
  }

  /** Closes the connections to all endpoints as soon as the calls on them have ended. */
  closeAll (): void {
    for (const id of [...this._pools.keys()]) this.close(id)
  }

  private _createPool (address: string, idleTimeoutMs: number, maximumConnections: number): Pool {
    return new Pool(`http://${address}`, {
      connections: maximumConnections,
      pipelining: 1,
      connect: guardedConnector(CONNECT_TIMEOUT_MS, { ...DEFAULT_HEAD_LIMITS, responseBytes: this._maximumResponseBytes() }),
      keepAliveTimeout: idleTimeoutMs,
      keepAliveMaxTimeout: idleTimeoutMs,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      // The router enforces a deadline for each call as a whole.
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }
}
