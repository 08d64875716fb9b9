const PLAIN_VALUE = /^[A-Za-z0-9_.:/@+%,[\]-]+$/
const SECRET_KEY = /^(authorization|cookie|password|.*secret|(.*_)?token)$/i
const BEARER_TOKEN = /Bearer \S+/g
const REDACTED = '[redacted]'

function formatValue (key: string, value: unknown): string {
  if (SECRET_KEY.test(key)) return REDACTED
  const text = value instanceof Error
    ? value.message
    : typeof value === 'object' && value !== null ? JSON.stringify(value) : String(value)
  const redactedText = text.replace(BEARER_TOKEN, `Bearer ${REDACTED}`)
  return PLAIN_VALUE.test(redactedText) ? redactedText : JSON.stringify(redactedText)
}

/**
 * Formats an event as one line of key=value pairs. Values that contain white space, quotes or other characters outside
 * a fixed set are quoted as JSON strings, so that a line feed in a value can't start a new line. The values of keys
 * that name secrets, and bearer tokens within any value, are redacted.
 * @param fields values by key; undefined values are omitted
 * @returns the line, with a line feed at its end
 */
export function formatEvent (fields: Readonly<Record<string, unknown>>): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(key, value)}`)
  return `${pairs.join(' ')}\n`
}
