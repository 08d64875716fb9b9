import { createServer } from 'node:net'
import { listen } from './listen.mjs'

/** Returns a port that is free on a loopback address. */
export async function freePort (host = '127.0.0.1') {
  const server = createServer()
  const port = await listen(server, host)
  await new Promise((resolve) => server.close(resolve))
  return port
}
