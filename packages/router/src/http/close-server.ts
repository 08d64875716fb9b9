import type { Server } from 'node:http'

/** Interval at which keep-alive connections that have become idle are closed. */
const IDLE_CHECK_MS = 20

/**
 * Stops accepting connections and resolves when all open connections have ended. Idle connections are closed
 * immediately. Does nothing if the server is not listening.
 * @param server the server to close
 */
export async function closeServer (server: Server): Promise<void> {
  if (!server.listening) return
  const timer = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_MS)
  await new Promise<void>((resolve) => {
    server.close(() => resolve())
    server.closeIdleConnections()
  })
  clearInterval(timer)
}
