const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect'
])

/**
 * Headers that concern both ends of a call and not only one connection (RFC 9110, section 7.6.1).
 * @param headers headers as Node or undici gives them
 * @returns names in lower case; values of a repeated header joined by a comma
 */
export function endToEndHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
  const kept: Record<string, string> = {}
  for (const name in headers) {
    const value = headers[name]
    if (value === undefined || HOP_BY_HOP.has(name)) continue
    kept[name] = typeof value === 'string' ? value : value.join(', ')
  }
  return kept
}
