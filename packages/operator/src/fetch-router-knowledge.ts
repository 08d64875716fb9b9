import type { z } from 'zod'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { routerKnowledge } from './router-knowledge.js'

const TIMEOUT_MS = 2_000

/**
 * Asks a router of the one-hop fleet what it knows, by JSON-RPC 2.0 at its address for other routers.
 * @param address address of the router, host:port
 * @throws MimosarockError PEER_UNREACHABLE if it does not answer in time, PEER_PROTOCOL if it answers something else
 */
export async function fetchRouterKnowledge (address: string): Promise<z.infer<typeof routerKnowledge>> {
  const parsed = routerKnowledge.safeParse(await call(address))
  if (parsed.success) return parsed.data
  throw new MimosarockError(ResultCode.PEER_PROTOCOL, `${address} did not answer what it knows`, { cause: parsed.error })
}

async function call (address: string): Promise<unknown> {
  try {
    const response = await fetch(`http://${address}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'fleet.knowledge', params: {} }),
      signal: AbortSignal.timeout(TIMEOUT_MS)
    })
    return (await response.json() as { readonly result?: unknown }).result
  } catch (cause) {
    throw new MimosarockError(ResultCode.PEER_UNREACHABLE, `${address} does not answer`, { cause })
  }
}
