import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import type { GatewaySettings } from '@mimosarock/gateway/settings/gateway-settings.js'
import type { MemoryStore } from './memory-store.js'

/** What a router of a test shares with other routers. */
export interface GatewayFixtureOptions {
  readonly name?: string
  readonly store?: MemoryStore
  /** Returns the addresses of routers that run already. */
  readonly seeds?: () => readonly string[]
  /** Settings that differ from the fixture's. */
  readonly settings?: Partial<GatewaySettings>
  /** Registrations that differ from the endpoints' own, by index. */
  readonly registrations?: readonly Partial<EndpointEntry>[]
}
