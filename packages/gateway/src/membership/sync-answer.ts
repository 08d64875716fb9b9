import type { HolderNote } from '../choice/holder-note.js'
import type { WorkspaceShare } from '../fairness/workspace-share.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { EraEvacuations } from '../evacuation/era-evacuations.js'
import type { EndpointPermits } from '../limits/endpoint-permits.js'
import type { LimitNote } from '../limits/limit-note.js'
import type { EjectionNote } from '../outliers/ejection-note.js'
import type { QuarantineNotes } from '../quarantine/quarantine-notes.js'
import type { ColdNote } from '../warm-up/cold-note.js'
import type { ConfigurationNews } from '../transfers/configuration-news.js'
import type { EndpointChange } from './endpoint-change.js'
import type { EndpointRemoval } from './endpoint-removal.js'
import type { RouterContact } from './router-contact.js'

/**
 * Answer to a sync request: the state that the requesting router does not have yet. Large changes of the configuration
 * are transferred separately, since they would delay everything else.
 */
export interface SyncAnswer extends ConfigurationNews {
  /**
   * Number of routers between the answering router and the store: 0 if it reads the store itself without errors;
   * Infinity, null in JSON, if it has no current source. A router stops reading the store only if its source is closer
   * to the store.
   */
  readonly distance: number | null
  /** Whether the answering router has failed to read the store a moment ago; undefined if not, or from an earlier version. */
  readonly isStoreFailing?: boolean | undefined
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
  /** Milliseconds since an outage of the store ended, while entries may be missing although their endpoints run; undefined otherwise, or from an earlier version. */
  readonly outageEndedAgoMs?: number | undefined
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
