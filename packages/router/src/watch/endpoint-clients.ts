import { BoundedHttpClient } from '../http/bounded-http-client.js'

/** Maximum number of connections to one endpoint; only limits sockets, since admission enforces the capacity. */
const MAXIMUM_CONNECTIONS = 1_024

/** HTTP clients of the endpoints, one for each address in use. */
export class EndpointClients {
  private readonly _connectTimeoutMs: number
  private readonly _clients = new Map<string, BoundedHttpClient>()

  /**
   * @param connectTimeoutMs timeout for opening a connection, in milliseconds
   */
  constructor (connectTimeoutMs: number) {
    this._connectTimeoutMs = connectTimeoutMs
  }

  /**
   * Returns the client of an address, which is created on first use.
   * @param address IP address and port of the endpoint
   */
  get (address: string): BoundedHttpClient {
    const known = this._clients.get(address)
    if (known !== undefined) return known
    const client = new BoundedHttpClient({ address, connectTimeoutMs: this._connectTimeoutMs, maximumConnections: MAXIMUM_CONNECTIONS })
    this._clients.set(address, client)
    return client
  }

  /**
   * Closes the clients of addresses that are no longer configured.
   * @param addresses addresses that are still in use
   */
  async retain (addresses: ReadonlySet<string>): Promise<void> {
    for (const [address, client] of this._clients) {
      if (addresses.has(address)) continue
      this._clients.delete(address)
      await client.destroy()
    }
  }

  /** Closes all connections. Requests in flight fail. */
  async destroy (): Promise<void> {
    await this.retain(new Set())
  }
}
