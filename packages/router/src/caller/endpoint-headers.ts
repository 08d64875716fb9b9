import type { IncomingHttpHeaders } from 'node:http'
import { endToEndHeaders } from '../http/end-to-end-headers.js'

/** Set anew for each call to an endpoint, or meant for the router alone. */
const DROPPED = ['host', 'content-length', 'accept-encoding', 'mimosarock-workspace', 'mimosarock-chat']

/**
 * A caller's headers as an endpoint gets them. Answers are asked for uncompressed, since streams are cut into
 * events on the way.
 * @param headers the caller's headers
 * @param added headers that the router sets, names in lower case
 */
export function endpointHeaders (headers: IncomingHttpHeaders, added: Readonly<Record<string, string>>): Record<string, string> {
  const kept = endToEndHeaders(headers)
  for (const name of DROPPED) delete kept[name]
  return { ...kept, ...added }
}
