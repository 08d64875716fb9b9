/** Whether requests of a route may run more than once. */
const RouteKind = {
  /** Idempotent; may run more than once. */
  IDEMPOTENT: 'idempotent',
  /** May run at most once. */
  ONCE: 'once',
  /** Responds with an event stream; runs at most once unless the route is resumable. */
  STREAM: 'stream'
} as const
type RouteKind = typeof RouteKind[keyof typeof RouteKind]

export { RouteKind }
