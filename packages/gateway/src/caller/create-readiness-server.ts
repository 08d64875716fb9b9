import { createServer, type Server } from 'node:http'

const READY = 200
const NOT_READY = 503

/**
 * HTTP server that tells a load balancer whether this router takes new connections.
 * @param path that the balancer asks for
 * @param isReady whether it does
 */
export function createReadinessServer (path: string, isReady: () => boolean): Server {
  return createServer((request, response) => {
    response.writeHead(request.url === path && isReady() ? READY : NOT_READY, { 'content-length': 0 }).end()
  })
}
