import { BoundedHttpClient } from '../http/bounded-http-client.js'

/** Most connections to one endpoint; its own limit is kept by admission, so this only bounds sockets. */
const MAXIMUM_CONNECTIONS = 1_024

/** One HTTP client for each endpoint address in use. */
export class EndpointClients {
  private readonly _connectTimeoutMs: number
  private readonly _clients = new Map<string, BoundedHttpClient>()

  /**
   * @param connectTimeoutMs bound on opening a connection, in milliseconds
   */
  constructor (connectTimeoutMs: number) {
    this._connectTimeoutMs = connectTimeoutMs
  }

  /**
   * The client of an address.
   * @param address IP number and port
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
   * @param addresses the addresses still in use
   */
  async retain (addresses: ReadonlySet<string>): Promise<void> {
    for (const [address, client] of this._clients) {
      if (addresses.has(address)) continue
      this._clients.delete(address)
      await client.destroy()
    }
  }

  /** Closes all connections; calls in flight fail. */
  async destroy (): Promise<void> {
    await this.retain(new Set())
  }
}
