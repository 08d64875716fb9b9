import type { ConfigurationNews } from '../transfers/configuration-news.js'
import type { ConfigurationRequest } from '../transfers/configuration-request.js'
import type { SyncCall } from './sync-call.js'

/** Calls to other routers that keep the state of the fleet up to date. */
export interface PeerCalls {
  /** Sends a sync request to the router at an address and returns its answer. */
  readonly sync: SyncCall
  /** Asks the router at an address for a newer configuration, or a source of it. */
  readonly configurationNews: (address: string, request: ConfigurationRequest) => Promise<ConfigurationNews>
}
