import { createServer, type IncomingMessage, type OutgoingHttpHeaders, type Server, type ServerResponse } from 'node:http'
import { promisify } from 'node:util'
import { constants, gzip } from 'node:zlib'
import { readBoundedBody } from '@mimosarock/coordination/http/read-bounded-body.js'
import { JSONRPCServer, type JSONRPCRequest } from 'json-rpc-2.0'
import type { ConfigurationRequest } from '../transfers/configuration-request.js'
import type { RouterKnowledge } from './router-knowledge.js'
import type { SyncRequest } from './sync-request.js'
import type { SyncServer } from './sync-server.js'

const METHOD_NOT_ALLOWED = 405
const BAD_REQUEST = 400
/** Length of a response from which it is compressed, in bytes; most responses are shorter. */
const MINIMUM_COMPRESSED_BYTES = 4_096

/** Maximum length of a request, in bytes; one with the loads and holders of hundreds of routers has some hundred thousand. */
const MAXIMUM_REQUEST_BYTES = 16_777_216

const compress = promisify(gzip)

/**
 * Creates the HTTP server for JSON-RPC 2.0 requests of other routers and operators.
 * @param sync handles sync requests
 * @param knowledge returns what this router knows, for operators
 * @param onBytes called with the length of each response, in bytes
 */
export function createPeerRpcServer (sync: SyncServer, knowledge: () => RouterKnowledge, onBytes: (bytes: number) => void): Server {
  const rpc = new JSONRPCServer()
  rpc.addMethod('fleet.sync', (params) => sync.answer(params as SyncRequest))
  rpc.addMethod('fleet.configurationNews', (params) => sync.configurationNews(params as ConfigurationRequest))
  rpc.addMethod('fleet.configuration', ({ fromVersion }: { readonly fromVersion: number }) => sync.configurationUpdate(fromVersion))
  rpc.addMethod('fleet.knowledge', () => knowledge())
  return createServer((request, response) => {
    if (request.method !== 'POST') {
      response.writeHead(METHOD_NOT_ALLOWED).end()
      return
    }
    answer(rpc, request, response).then(onBytes).catch((error: Error) => {
      response.writeHead(BAD_REQUEST).end(error.message)
    })
  })
}

async function answer (rpc: JSONRPCServer, request: IncomingMessage, response: ServerResponse): Promise<number> {
  const received = await readBoundedBody(request, MAXIMUM_REQUEST_BYTES)
  const message = JSON.parse(received.toString()) as JSONRPCRequest
  const result = Buffer.from(JSON.stringify(await rpc.receive(message)))
  const isCompressed = result.length >= MINIMUM_COMPRESSED_BYTES
  const body = isCompressed ? await compress(result, { level: constants.Z_BEST_SPEED }) : result
  const headers: OutgoingHttpHeaders = { 'content-type': 'application/json', 'content-length': body.length }
  if (isCompressed) headers['content-encoding'] = 'gzip'
  response.writeHead(200, headers).end(body)
  return body.length
}
