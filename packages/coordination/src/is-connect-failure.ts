/** Codes of errors that occur before a connection is established. */
const CONNECT_ERROR_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT'
])

/**
 * Returns whether a request failed before its connection was established, which implies that no byte of it was sent.
 * @param error error thrown by the HTTP client; an aggregate counts if all of its errors do
 */
export function isConnectFailure (error: unknown): boolean {
  if (!(error instanceof Error)) return false
  if (error instanceof AggregateError) return error.errors.length > 0 && error.errors.every(isConnectFailure)
  return CONNECT_ERROR_CODES.has((error as NodeJS.ErrnoException).code)
}
