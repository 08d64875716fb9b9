import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import { createServer as createSecureServer } from 'node:https'
import type { AddressInfo } from 'node:net'
import { createContextValues } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { create } from '@bufbuild/protobuf'
import type { Actor } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import {
  ActorSchema, CommandService as CommandServiceDescription, QueryService as QueryServiceDescription
} from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { isLoopbackAddress } from '../access/is-loopback-address.js'
import { OPERATOR_ACTOR } from './operator-actor.js'
import type { OperatorServerOptions } from './operator-server-options.js'

/** Maximum size of a request; a configuration of 19,000 workspaces is about 2 MB. */
const MAXIMUM_REQUEST_BYTES = 32 * 1024 * 1024
const REQUEST_TIMEOUT_MS = 60_000
const HEADERS_TIMEOUT_MS = 10_000
const ADDRESS = /^(.+):(\d+)$/

/** Serves the command and query services over Connect. Rejects requests without a valid token if it has any tokens. */
export class OperatorServer {
  private readonly _options: OperatorServerOptions
  private readonly _server: Server

  /**
   * @param options address, services, and settings for authentication and TLS
   */
  constructor (options: OperatorServerOptions) {
    this._options = options
    const handler = this._createHandler()
    const limits = { requestTimeout: REQUEST_TIMEOUT_MS, headersTimeout: HEADERS_TIMEOUT_MS }
    const certificate = options.certificate
    this._server = certificate === undefined
      ? createServer(limits, handler)
      : createSecureServer({
        ...limits,
        cert: certificate.certificate,
        key: certificate.key,
        ...(certificate.clientAuthorities !== undefined && { ca: certificate.clientAuthorities, requestCert: true, rejectUnauthorized: true })
      }, handler)
  }

  /** IP address and port on which the server listens. */
  get address (): string {
    const { address, port, family } = this._server.address() as AddressInfo
    return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`
  }

  /**
   * Starts listening.
   * @throws {MimosarockError} PLAIN_TEXT_REFUSED if the address requires a certificate, UNAUTHENTICATED if it requires
   * tokens, or ADDRESS_IN_USE
   */
  async start (): Promise<void> {
    this._checkAccess()
    const [, host = '', port = '0'] = ADDRESS.exec(this._options.address) ?? []
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', (cause) => {
        reject(new MimosarockError(ResultCode.ADDRESS_IN_USE, `cannot listen on the operators' address ${this._options.address}`, { field: 'operators.address', cause }))
      })
      this._server.listen(Number(port), host.replace(/^\[|\]$/g, ''), resolve)
    })
  }

  /** Stops listening and closes all open connections. */
  async stop (): Promise<void> {
    await new Promise<void>((resolve) => {
      this._server.close(() => resolve())
      this._server.closeAllConnections()
    })
  }

  private _checkAccess (): void {
    const { address, certificate, tokens, allowPlainText = false } = this._options
    if (isLoopbackAddress(address) || allowPlainText) return
    if (certificate === undefined) {
      throw new MimosarockError(ResultCode.PLAIN_TEXT_REFUSED, `operators' address ${address} is not a loopback address and has no certificate`, { field: 'operators.address' })
    }
    if (tokens.size === 0) {
      throw new MimosarockError(ResultCode.UNAUTHENTICATED, `operators' address ${address} is not a loopback address and has no tokens`, { field: 'operators.tokens_file' })
    }
  }

  private _createHandler (): RequestListener {
    const adapter = connectNodeAdapter({
      routes: (router) => {
        router.service(CommandServiceDescription, this._options.commandService)
        router.service(QueryServiceDescription, this._options.queryService)
      },
      readMaxBytes: MAXIMUM_REQUEST_BYTES,
      contextValues: (request) => createContextValues().set(OPERATOR_ACTOR, this._authenticate(request as IncomingMessage) ?? create(ActorSchema))
    })
    return (request, response) => {
      if (this._authenticate(request) === undefined) this._rejectUnauthenticated(request, response)
      else adapter(request, response)
    }
  }

  private _authenticate (request: IncomingMessage): Actor | undefined {
    const source = request.socket.remoteAddress ?? ''
    const { tokens } = this._options
    if (tokens.size === 0) {
      const declaredName = request.headers['mimosarock-operator']
      return create(ActorSchema, { name: typeof declaredName === 'string' ? declaredName.slice(0, 64) : 'local', source })
    }
    const name = tokens.ownerOf(request.headers.authorization)
    return name === undefined ? undefined : create(ActorSchema, { name, source })
  }

  private _rejectUnauthenticated (request: IncomingMessage, response: ServerResponse): void {
    this._options.eventLog.warn('operator-refused', { source: request.socket.remoteAddress, path: request.url, code: ResultCode.UNAUTHENTICATED })
    response.writeHead(401, { 'content-type': 'application/json', 'mimosarock-code': String(ResultCode.UNAUTHENTICATED), connection: 'close' })
    response.end(JSON.stringify({ code: 'unauthenticated', message: 'a valid token is needed' }))
  }
}
