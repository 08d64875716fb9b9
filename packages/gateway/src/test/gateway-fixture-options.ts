import type { MemoryStore } from './memory-store.js'

/** What a router of a test shares with other routers. */
export interface GatewayFixtureOptions {
  readonly name?: string
  readonly store?: MemoryStore
  /** Returns the addresses of routers that run already. */
  readonly seeds?: () => readonly string[]
}
