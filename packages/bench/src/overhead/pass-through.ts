import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { pipeline } from 'node:stream/promises'
import { Agent, request as send } from 'undici'

/** Proxy that forwards every request to one endpoint and returns its response without any routing decision. */
export class PassThrough {
  private readonly _endpoint: string
  private readonly _agent = new Agent()
  private readonly _server = createServer((request, response) => {
    this._forward(request, response).catch(() => response.destroy())
  })

  /**
   * @param endpoint IP address and port of the endpoint
   */
  constructor (endpoint: string) {
    this._endpoint = endpoint
  }

  /** IP address and port; valid once started. */
  get address (): string {
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Starts listening on a free port. */
  async start (): Promise<void> {
    await new Promise<void>((resolve) => this._server.listen(0, '127.0.0.1', resolve))
  }

  /** Stops the server and closes all connections. */
  async stop (): Promise<void> {
    this._server.close()
    this._server.closeAllConnections()
    await this._agent.destroy()
  }

  private async _forward (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { connection, host, ...headers } = request.headers
    const endpointResponse = await send(`http://${this._endpoint}${request.url ?? '/'}`, {
      dispatcher: this._agent,
      method: request.method as 'POST',
      headers,
      body: request
    })
    const { connection: _connection, 'transfer-encoding': _encoding, ...responseHeaders } = endpointResponse.headers
    response.writeHead(endpointResponse.statusCode, responseHeaders)
    await pipeline(endpointResponse.body, response)
  }
}
