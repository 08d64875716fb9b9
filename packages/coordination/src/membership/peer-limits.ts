/** Bounds on the connections between routers; both ends keep to them. */
export const PeerLimits = {
  /** Longest JSON line; a whole stream state travels in one. */
  LINE_BYTES: 32 * 1024 * 1024,
  CONNECT_MS: 1_000,
  /** Silence after which a connection is pinged. */
  PING_INTERVAL_MS: 5_000,
  PING_TIMEOUT_MS: 1_000,
  /** A connection without calls for so long is closed. */
  IDLE_MS: 60_000,
  /** The serving end closes a connection that is silent for so long; its peer would have pinged. */
  SERVER_SILENCE_MS: 20_000,
  /** Longest time in which a new connection shows its token. */
  AUTHENTICATION_MS: 2_000,
  /** Calls answered at once on one connection. */
  CALLS_IN_FLIGHT: 512
} as const
