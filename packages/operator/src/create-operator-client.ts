import type { Interceptor } from '@connectrpc/connect'
import { createClient } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { CommandService, QueryService } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { OperatorClientOptions } from './operator-client-options.js'
import type { OperatorClient } from './operator-client.js'

/**
 * Creates clients of a router's operator services. Each call opens a new connection; none is opened before a call.
 * @param options address, token and trusted certificates
 */
export function createOperatorClient (options: OperatorClientOptions): OperatorClient {
  const authorize: Interceptor = (next) => (request) => {
    if (options.token !== undefined) request.header.set('authorization', `Bearer ${options.token}`)
    return next(request)
  }
  const transport = createConnectTransport({
    baseUrl: options.url,
    httpVersion: '1.1',
    interceptors: [authorize],
    // A command-line client makes few calls, and an idle keep-alive connection would prevent its process from exiting.
    nodeOptions: { agent: false, ...(options.authorities !== undefined && { ca: options.authorities }) }
  })
  return { commands: createClient(CommandService, transport), queries: createClient(QueryService, transport) }
}
