import type { HolderNote } from '../choice/holder-note.js'
import type { EndpointEntry } from './endpoint-entry.js'
import type { GatewayConfiguration } from './gateway-configuration.js'
import type { RouterEntry } from './router-entry.js'
import type { TopicReader } from './topic-reader.js'

/** The platform's store as the router uses it. */
export interface FleetStore {
  /** Accepted configurations. */
  readonly configurations: TopicReader<GatewayConfiguration>
  /** Endpoints that registered themselves. */
  readonly endpoints: TopicReader<EndpointEntry>
  /** Routers that announced themselves. */
  readonly routers: TopicReader<RouterEntry>
  /**
   * Announces a router to the others.
   * @param entry the router
   * @param signal ends the call
   */
  announce (entry: RouterEntry, signal: AbortSignal): Promise<void>
  /**
   * Keeps who holds which contexts, for routers that start.
   * @param notes all that is to be kept; replaces what was kept before
   * @param signal ends the call
   */
  saveHolders (notes: readonly HolderNote[], signal: AbortSignal): Promise<void>
  /**
   * What was kept last.
   * @param signal ends the call
   */
  loadHolders (signal: AbortSignal): Promise<readonly HolderNote[]>
}
