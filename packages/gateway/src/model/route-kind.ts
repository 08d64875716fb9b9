/** What a route's requests allow. */
const RouteKind = {
  /** Idempotent: may run more than once. */
  IDEMPOTENT: 'idempotent',
  /** May run at most once. */
  ONCE: 'once',
  /** Answers with a stream of events; runs at most once unless it may be resumed. */
  STREAM: 'stream'
} as const
type RouteKind = typeof RouteKind[keyof typeof RouteKind]

export { RouteKind }
