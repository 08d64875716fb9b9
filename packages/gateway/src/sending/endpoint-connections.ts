import { Pool } from 'undici'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import { connectNoticingResets } from './connect-noticing-resets.js'

/** Longest time to establish a connection; an endpoint accepts within milliseconds or not at all. */
const CONNECT_TIMEOUT_MS = 600
/** How long an idle connection is kept; most endpoints close theirs later and say so. */
const IDLE_KEEP_MS = 3_000
/** Margin by which a connection is given up before the endpoint's own idle timeout. */
const IDLE_MARGIN_MS = 1_000
/**
 * How long an idle connection is kept for calls that may run once only. On an older connection the endpoint's close
 * may cross the call, and nobody could say whether it ran.
 */
const FRESH_KEEP_MS = 250

/** Connections to one endpoint. */
interface Connections {
  readonly address: string
  readonly kept: Pool
  readonly fresh: Pool
}

/** Connection pools, two for each endpoint: one for calls that may be repeated and one for those that may not. */
export class EndpointConnections {
  private readonly _pools = new Map<string, Connections>()

  /**
   * The pool for a call.
   * @param endpoint where the call goes
   * @param mayRepeat whether the call may be sent again if the connection turns out to be closed
   * @param maximum connections that this router may hold to the endpoint
   */
  pool (endpoint: EndpointEntry, mayRepeat: boolean, maximum: number): Pool {
    let connections = this._pools.get(endpoint.id)
    if (connections !== undefined && connections.address !== endpoint.address) {
      this.close(endpoint.id)
      connections = undefined
    }
    if (connections === undefined) {
      connections = {
        address: endpoint.address,
        kept: createPool(endpoint.address, IDLE_KEEP_MS, maximum),
        fresh: createPool(endpoint.address, FRESH_KEEP_MS, maximum)
      }
      this._pools.set(endpoint.id, connections)
    }
    return mayRepeat ? connections.kept : connections.fresh
  }

  /**
   * Closes the connections to an endpoint once their calls have ended.
   * @param endpointId identity of the endpoint
   */
  close (endpointId: string): void {
    const connections = this._pools.get(endpointId)
    if (connections === undefined) return
    this._pools.delete(endpointId)
    // A pool that is closed lets its calls end; there is nothing to wait for and nothing that can fail.
    connections.kept.close().catch(() => undefined)
    connections.fresh.close().catch(() => undefined)
  }

  /** Closes all connections. */
  closeAll (): void {
    for (const id of [...this._pools.keys()]) this.close(id)
  }
}

function createPool (address: string, idleKeepMs: number, maximum: number): Pool {
  return new Pool(`http://${address}`, {
    connections: maximum,
    pipelining: 1,
    connect: connectNoticingResets(CONNECT_TIMEOUT_MS),
    keepAliveTimeout: idleKeepMs,
    keepAliveMaxTimeout: idleKeepMs,
    keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    // The router bounds each call as a whole.
    headersTimeout: 0,
    bodyTimeout: 0
  })
}
