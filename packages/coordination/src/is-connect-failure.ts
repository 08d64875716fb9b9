/** Codes of errors that come before a connection exists. */
const CONNECT_FAILURES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT'
])

/**
 * Whether a call failed before its connection was open, so that no byte of it was sent.
 * @param error what the HTTP client threw
 */
export function isConnectFailure (error: unknown): boolean {
  if (!(error instanceof Error)) return false
  if (error instanceof AggregateError) return error.errors.length > 0 && error.errors.every(isConnectFailure)
  return CONNECT_FAILURES.has((error as NodeJS.ErrnoException).code)
}
