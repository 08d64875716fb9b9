import type { HolderNote } from '../choice/holder-note.js'
import type { LoadByEndpoint } from '../choice/load-by-endpoint.js'
import type { RouterEntry } from '../model/router-entry.js'
import type { RouterContact } from './router-contact.js'

/** What a router tells another one when it asks for news. */
export interface SyncRequest {
  /** Who asks. */
  readonly router: RouterEntry
  /** The routers that it knows; undefined in most requests, since they change rarely. */
  readonly routers: readonly RouterContact[] | undefined
  /** Configuration version that it has. */
  readonly configurationVersion: number
  /** Revision of the answering router's endpoints that it has; undefined for none. */
  readonly endpointsRevision: string | undefined
  /** What it has in flight. */
  readonly load: LoadByEndpoint
  /** Contexts that came to be held since it asked last. */
  readonly notes: readonly HolderNote[]
  /** Where it stands in the answering router's notes, as `instance:number`. */
  readonly notesCursor: string | undefined
}
