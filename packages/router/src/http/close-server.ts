import type { Server } from 'node:http'

/** How often kept-alive connections that have become idle are closed. */
const IDLE_CHECK_MS = 20

/**
 * Takes no new connections and resolves when the open ones have ended; idle ones are closed at once.
 * @param server the server
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
