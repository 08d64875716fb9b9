import type { EraNews } from '../model/era-news.js'
import type { RouterEntry } from '../model/router-entry.js'

/** What a router tells another one of its configuration when it asks for a newer one. */
export interface ConfigurationRequest {
  /** The requesting router. */
  readonly router: RouterEntry
  /** Era of the store that the requester knows; undefined from an earlier version. */
  readonly storeEra?: EraNews | undefined
  /** Version of the requester's configuration. */
  readonly configurationVersion: number
  /** Addresses of routers from which a transfer of a newer version is slow or has failed; undefined for none, or from an earlier version. */
  readonly slowSources?: readonly string[] | undefined
}
