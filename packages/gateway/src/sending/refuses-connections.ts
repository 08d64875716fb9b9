import { createConnection } from 'node:net'
import { pause } from '../membership/pause.js'

/** Timeout of a connection attempt; a refusal arrives within milliseconds. */
const CONNECT_TIMEOUT_MS = 600
/** Pauses before the attempts. A process that is ending may lose its connections before it stops listening. */
const PAUSES_MS = [0, 150]

/**
 * Returns whether nothing listens at an address. An address that can't be reached does not refuse connections. Never rejects.
 * @param address address, host:port
 */
export async function refusesConnections (address: string): Promise<boolean> {
  for (const pauseMs of PAUSES_MS) {
    await pause(pauseMs)
    if (await isRefused(address)) return true
  }
  return false
}

function isRefused (address: string): Promise<boolean> {
  const separator = address.lastIndexOf(':')
  const socket = createConnection({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)) })
  return new Promise((resolve) => {
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy())
    socket.on('connect', () => socket.destroy())
    socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code === 'ECONNREFUSED'))
    socket.on('close', () => resolve(false))
  })
}
