import type { HolderNote } from '../choice/holder-note.js'
import type { LoadByEndpoint } from '../choice/load-by-endpoint.js'
import type { LoadReport } from '../choice/load-report.js'
import type { EraEvacuations } from '../evacuation/era-evacuations.js'
import type { DemandReport } from '../fairness/demand-report.js'
import type { AnswerReport } from '../outliers/answer-report.js'
import type { LimitNote } from '../limits/limit-note.js'
import type { PermitRequest } from '../limits/permit-request.js'
import type { QuarantineNotes } from '../quarantine/quarantine-notes.js'
import type { ColdNote } from '../warm-up/cold-note.js'
import type { ConfigurationRequest } from '../transfers/configuration-request.js'
import type { RouterContact } from './router-contact.js'

/** Sync request of a router to another one. */
export interface SyncRequest extends ConfigurationRequest {
  /** Routers known to the requester; undefined in most requests, since they change rarely. */
  readonly routers: readonly RouterContact[] | undefined
  /** Number of live routers known to the requester, itself included. */
  readonly routerCount: number
  /**
   * Evacuated zones that the requester knows, a record for each era of the store that counts; empty if it has not learned yet
   * whether there are any. Undefined if it has never heard of an evacuation.
   */
  readonly evacuations?: readonly EraEvacuations[] | undefined
  /** Last received revision of the answering router's endpoints; undefined for none. */
  readonly endpointsRevision: string | undefined
  /** Requests in flight of the requester; empty if it reports none to the answering router. */
  readonly load: LoadByEndpoint
  /** Load reports that the requester has received; undefined if it reports no loads to the answering router, or is of an earlier version. */
  readonly relayedLoads?: readonly LoadReport[] | undefined
  /** Keys whose context an endpoint has newly cached since the last request. */
  readonly notes: readonly HolderNote[]
  /** News about suspect prompt parts and requests since the last request; undefined for none. */
  readonly quarantine?: QuarantineNotes | undefined
  /** The requester's position in such news of the answering router, as `instance:number`. */
  readonly quarantineCursor?: string | undefined
  /** Limits of endpoints that the requester and its followers have observed; undefined for none. */
  readonly limits?: readonly LimitNote[] | undefined
  /** Endpoints that the requester and its followers presume to be cold; undefined for none. */
  readonly coldEndpoints?: readonly ColdNote[] | undefined
  /** Last received revision of the answering router's limits, as `instance:number`; undefined for none. */
  readonly limitsRevision?: string | undefined
  /** Permits that the requester wants for endpoints with a limit. Only the router that is followed is asked. */
  readonly permitRequest?: PermitRequest | undefined
  /** Demand for services that refuse requests, of the requester and its followers; undefined for none. Only the router that is followed gets it. */
  readonly demand?: readonly DemandReport[] | undefined
  /** Answers that the requester and its followers got from endpoints; undefined from an earlier version, or if endpoints are not ejected. */
  readonly answers?: AnswerReport | undefined
  /** Last received revision of the answering router's ejections, as `instance:number`; undefined for none. */
  readonly ejectionsRevision?: string | undefined
  /** The requester's position in the notes of the answering router, as `instance:number`. */
  readonly notesCursor: string | undefined
}
