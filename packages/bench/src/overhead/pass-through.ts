import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { pipeline } from 'node:stream/promises'
import { Agent, request as send } from 'undici'

/** Hands every request to one endpoint and its answer back, with no decision in between. */
export class PassThrough {
  private readonly _endpoint: string
  private readonly _agent = new Agent()
  private readonly _server = createServer((request, response) => {
    this._pass(request, response).catch(() => response.destroy())
  })

  /**
   * @param endpoint IP number and port
   */
  constructor (endpoint: string) {
    this._endpoint = endpoint
  }

  /** IP number and port once started. */
  get address (): string {
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Listens. */
  async start (): Promise<void> {
    await new Promise<void>((resolve) => this._server.listen(0, '127.0.0.1', resolve))
  }

  /** Closes every connection. */
  async stop (): Promise<void> {
    this._server.close()
    this._server.closeAllConnections()
    await this._agent.destroy()
  }

  private async _pass (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { connection, host, ...headers } = request.headers
    const answer = await send(`http://${this._endpoint}${request.url ?? '/'}`, {
      dispatcher: this._agent,
      method: request.method as 'POST',
      headers,
      body: request
    })
    const { connection: _connection, 'transfer-encoding': _encoding, ...answerHeaders } = answer.headers
    response.writeHead(answer.statusCode, answerHeaders)
    await pipeline(answer.body, response)
  }
}
