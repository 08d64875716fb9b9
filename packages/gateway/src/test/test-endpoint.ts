import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { PortReservation } from '@mimosarock/stand-ins/port-reservation.js'
import type { EndpointBehavior } from './endpoint-behavior.js'

/** HTTP endpoint whose behavior each test sets. */
export class TestEndpoint {
  readonly id: string
  readonly requests: { readonly headers: IncomingMessage['headers'], readonly url: string | undefined, readonly body: string, readonly arrivedAt: number }[] = []
  behavior: EndpointBehavior = (request, response) => TestEndpoint.respond(request, response, `from ${this.id}`)
  /** Number of responses whose connection closed before they were complete. */
  closedEarly = 0
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()
  private _reservation: PortReservation | undefined
  private _starts = 0

  constructor (id: string) {
    this.id = id
    this._server = createServer((request, response) => {
      const chunks: Buffer[] = []
      request.on('data', (chunk: Buffer) => chunks.push(chunk))
      request.on('end', () => {
        const body = Buffer.concat(chunks).toString()
        this.requests.push({ headers: request.headers, url: request.url, body, arrivedAt: performance.now() })
        this.behavior(request, response, body)
      })
      response.on('close', () => { if (!response.writableFinished) this.closedEarly += 1 })
    })
    this._server.on('connection', (socket) => {
      this._sockets.add(socket)
      socket.on('close', () => this._sockets.delete(socket))
    })
  }

  /** Responds with a body, the signature of an endpoint and the request id. */
  static respond (request: IncomingMessage, response: ServerResponse, body: string, status = 200): void {
    response.writeHead(status, { 'request-id': request.headers['request-id'], signature: 'signed', 'content-type': 'text/plain' }).end(body)
  }

  /** Responds that the request did not run. */
  static reject (request: IncomingMessage, response: ServerResponse): void {
    response.writeHead(503, { 'request-id': request.headers['request-id'], 'not-run': '1' }).end()
  }

  async start (changes: Partial<EndpointEntry> = {}): Promise<EndpointEntry> {
    const { port } = this._reservation ??= await PortReservation.create()
    await new Promise<void>((resolve) => this._server.listen(port, '127.0.0.1', resolve))
    this._starts += 1
    return {
      id: this.id,
      service: 'app',
      address: `127.0.0.1:${port}`,
      availabilityZone: 'z',
      slots: 4,
      isDraining: false,
      startedAt: this._starts,
      revision: 0,
      ...changes
    }
  }

  /** Whether the endpoint accepts connections. */
  get isRunning (): boolean {
    return this._server.listening
  }

  /** Ends as a process does that crashes: nothing listens any more, and all connections are reset. Can be started again. */
  crash (): void {
    this._server.close()
    for (const socket of this._sockets) socket.resetAndDestroy()
  }

  close (): void {
    this._server.closeAllConnections()
    this._server.close()
    this._reservation?.release()
  }
}
