import type { IncomingHttpHeaders } from 'node:http'
import { endToEndHeaders } from '../http/end-to-end-headers.js'

/** Headers that are not forwarded: they are set anew for each call, request compression or are meant for the router. */
const REMOVED_HEADERS = ['host', 'content-length', 'accept-encoding', 'mimosarock-workspace', 'mimosarock-chat']

/**
 * Returns the headers of a call to an endpoint. `accept-encoding` is removed so that responses arrive uncompressed,
 * because the router splits streams into events.
 * @param headers headers of the caller's request
 * @param added headers that the router sets, with lower-case names; they override the caller's
 */
export function endpointHeaders (headers: IncomingHttpHeaders, added: Readonly<Record<string, string>>): Record<string, string> {
  const forwarded = endToEndHeaders(headers)
  for (const name of REMOVED_HEADERS) delete forwarded[name]
  return { ...forwarded, ...added }
}
