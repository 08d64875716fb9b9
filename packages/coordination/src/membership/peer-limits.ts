/** Limits and timeouts of the connections between routers; each applies at the calling end, the serving end or both. */
export const PeerLimits = {
  /** Maximum length of a JSON line; one line can contain a whole member table. */
  LINE_BYTES: 32 * 1024 * 1024,
  CONNECT_MS: 1_000,
  /** Time without received data after which a connection is pinged. */
  PING_INTERVAL_MS: 5_000,
  PING_TIMEOUT_MS: 1_000,
  /** Time without calls after which the calling end closes a connection. */
  IDLE_MS: 60_000,
  /** Time without data after which the serving end closes a connection; a working peer would have sent a ping. */
  SERVER_SILENCE_MS: 20_000,
  /** Timeout for a new connection to present its token. */
  AUTHENTICATION_MS: 2_000,
  /** Maximum number of concurrent calls on one connection. */
  CALLS_IN_FLIGHT: 512
} as const
