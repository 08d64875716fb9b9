import type { Interceptor } from '@connectrpc/connect'
import { createClient } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { CommandService, QueryService } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { OperatorClientOptions } from './operator-client-options.js'
import type { OperatorClient } from './operator-client.js'

/**
 * Makes clients of a router's operators' services. No connection is opened before the first call.
 * @param options how to reach the router
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
    // A command-line client makes few calls and must not keep its process alive by an idle connection.
    nodeOptions: { agent: false, ...(options.authorities !== undefined && { ca: options.authorities }) }
  })
  return { commands: createClient(CommandService, transport), queries: createClient(QueryService, transport) }
}
