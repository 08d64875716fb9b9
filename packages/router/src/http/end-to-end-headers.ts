const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect'
])

/**
 * Returns the end-to-end headers of a message, without the hop-by-hop headers (RFC 9110, section 7.6.1) and without
 * `expect`, because undici rejects requests with that header.
 * @param headers headers as provided by Node.js or undici, with names in lower case
 * @returns headers by name in lower case; the values of a repeated header are joined by a comma
 */
export function endToEndHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
  const result: Record<string, string> = {}
  const connectionOptions = String(headers.connection ?? '').toLowerCase().split(',').map((name) => name.trim())
  for (const name in headers) {
    const value = headers[name]
    if (value === undefined || HOP_BY_HOP.has(name) || connectionOptions.includes(name)) continue
    result[name] = typeof value === 'string' ? value : value.join(', ')
  }
  return result
}
