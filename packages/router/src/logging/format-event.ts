const PLAIN_VALUE = /^[A-Za-z0-9_.:/@+%,[\]-]+$/
const SECRET_KEY = /^(authorization|cookie|password|.*secret|(.*_)?token)$/i
const BEARER_TOKEN = /Bearer \S+/g
const REDACTED = '[redacted]'

function formatValue (key: string, value: unknown): string {
  if (SECRET_KEY.test(key)) return REDACTED
  const text = value instanceof Error
    ? value.message
    : typeof value === 'object' && value !== null ? JSON.stringify(value) : String(value)
  const safe = text.replace(BEARER_TOKEN, `Bearer ${REDACTED}`)
  return PLAIN_VALUE.test(safe) ? safe : JSON.stringify(safe)
}

/**
 * Formats an event as one line of key=value pairs. Values with characters other than those of plain words are quoted as
 * JSON strings, so that a line feed in a value can't start a new line. The values of keys that name secrets are
 * redacted.
 * @param fields values by key; undefined values are omitted
 * @returns the line, with a line feed at its end
 */
export function formatEvent (fields: Readonly<Record<string, unknown>>): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(key, value)}`)
  return `${pairs.join(' ')}\n`
}
