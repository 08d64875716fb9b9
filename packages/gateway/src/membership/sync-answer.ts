import type { HolderNote } from '../choice/holder-note.js'
import type { WorkspaceShare } from '../fairness/workspace-share.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { EraEvacuations } from '../evacuation/era-evacuations.js'
import type { EraNews } from '../model/era-news.js'
import type { AwaitedVersion } from '../configuration/awaited-version.js'
import type { ConfigurationPatch } from '../configuration/configuration-patch.js'
import type { EndpointPermits } from '../limits/endpoint-permits.js'
import type { LimitNote } from '../limits/limit-note.js'
import type { EjectionNote } from '../outliers/ejection-note.js'
import type { QuarantineNotes } from '../quarantine/quarantine-notes.js'
import type { ColdNote } from '../warm-up/cold-note.js'
import type { EndpointChange } from './endpoint-change.js'
import type { EndpointRemoval } from './endpoint-removal.js'
import type { RouterContact } from './router-contact.js'

/**
 * Answer to a sync request: the state that the requesting router does not have yet. Large changes of the configuration
 * are transferred separately, since they would delay everything else.
 */
export interface SyncAnswer {
  /** Name of the answering router. */
  readonly name: string
  /** Era of the store that the answering router knows; its ages and endpoints are of this era. Undefined from an earlier version. */
  readonly storeEra?: EraNews | undefined
  /**
   * Number of routers between the answering router and the store: 0 if it reads the store itself without errors;
   * Infinity, null in JSON, if it has no current source. A router stops reading the store only if its source is closer
   * to the store.
   */
  readonly distance: number | null
  /** Whether the answering router has failed to read the store a moment ago; undefined if not, or from an earlier version. */
  readonly isStoreFailing?: boolean | undefined
  /** Version of the answering router's configuration. */
  readonly configurationVersion: number
  /** Patches from the requester's configuration to a newer one; undefined if there is none or the change is large. */
  readonly configurationPatches: readonly ConfigurationPatch[] | undefined
  /**
   * Address of the router from which the requester has to transfer a large change; undefined if the change is not
   * large, or while all routers that have it are busy.
   */
  readonly configurationSource: string | undefined
  /** Milliseconds since the configuration was last verified to be the newest in the store; -1 if never. */
  readonly configurationAgeMs: number
  /** Milliseconds since the configuration in the store was last read; -1 if never. */
  readonly configurationReadAgeMs: number
  /**
   * Milliseconds since the answering router last knew which version the store holds, although it may still be receiving that version; -1 if
   * never, undefined from an earlier version.
   */
  readonly configurationHeardAgeMs?: number | undefined
  /** Newer version of the configuration that the answering router knows to exist and lacks; undefined for none, or from an earlier version. */
  readonly awaitedConfiguration?: AwaitedVersion | undefined
  /** Evacuated zones, a record for each era of the store that counts; undefined if the requester knows the same. */
  readonly evacuations?: readonly EraEvacuations[] | undefined
  /** Endpoint changes since the requester's revision; undefined if there are none or they are not retained. */
  readonly endpointChanges: readonly EndpointChange[] | undefined
  /** All endpoints, if the changes are not retained. */
  readonly endpoints: readonly EndpointEntry[] | undefined
  /** Endpoints that were removed a short time ago, if the changes are not retained; undefined for none, or from an earlier version. */
  readonly removedEndpoints?: readonly EndpointRemoval[] | undefined
  /** Revision of the endpoints, as `instance:number`. */
  readonly endpointsRevision: string
  /** Milliseconds since the endpoints were last verified against the store; -1 if never. */
  readonly endpointsAgeMs: number
  /**
   * Requests in flight of all routers except the requester and those whose reports it relays, as encoded by `encodeLoads`, in the order
   * of the answering router's endpoints.
   */
  readonly load: string
  /** Number of routers whose requests are counted in `load`; undefined from an earlier version. */
  readonly loadRouters?: number | undefined
  /** Keys whose context an endpoint has newly cached. */
  readonly notes: readonly HolderNote[]
  /** The requester's new position in the notes, as `instance:number`. */
  readonly notesCursor: string
  /** News about suspect prompt parts and requests; undefined for none. */
  readonly quarantine?: QuarantineNotes | undefined
  /** The requester's new position in such news, as `instance:number`. */
  readonly quarantineCursor?: string | undefined
  /** All limits of endpoints that the answering router knows; undefined if the requester has this revision. */
  readonly limits?: readonly LimitNote[] | undefined
  /** All endpoints that the answering router presumes to be cold; undefined if the requester has this revision of the limits. */
  readonly coldEndpoints?: readonly ColdNote[] | undefined
  /** Revision of the limits and of the endpoints presumed to be cold, as `instance:number`; undefined from an earlier version. */
  readonly limitsRevision?: string | undefined
  /** Shares of workspaces that exceed theirs; undefined for none. */
  readonly workspaceShares?: readonly WorkspaceShare[] | undefined
  /** Permits issued to the requester; undefined for none. */
  readonly permits?: readonly EndpointPermits[] | undefined
  /** All ejected endpoints that the answering router knows; undefined if the requester has this revision. */
  readonly ejections?: readonly EjectionNote[] | undefined
  /** Revision of the ejections, as `instance:number`; undefined from an earlier version. */
  readonly ejectionsRevision?: string | undefined
  /**
   * Routers known to the answering router; undefined if the request lists none and its sender knows as many, which holds for most
   * requests.
   */
  readonly routers: readonly RouterContact[] | undefined
}
