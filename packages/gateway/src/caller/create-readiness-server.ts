import { createServer, type Server } from 'node:http'

const READY = 200
const NOT_READY = 503

/**
 * Creates an HTTP server for the load balancer's readiness probes: it responds with 200 if this router accepts new
 * connections, else with 503.
 * @param path path of the probes; other paths get 503
 * @param isReady returns whether this router accepts new connections
 */
export function createReadinessServer (path: string, isReady: () => boolean): Server {
  return createServer((request, response) => {
    response.writeHead(request.url === path && isReady() ? READY : NOT_READY, { 'content-length': 0 }).end()
  })
}
