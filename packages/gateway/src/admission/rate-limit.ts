/** Rate limits of the endpoints of a service, as far as they hold up requests of this router. */
export interface RateLimit {
  /** Returns the milliseconds between two requests that may be sent; undefined while rate limits hold up none. */
  readonly intervalMs: () => number | undefined
  /** Called when a request has been queued. */
  readonly requestQueued: () => void
}
