import type { HolderNote } from '../choice/holder-note.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { ConfigurationPatch } from '../configuration/configuration-patch.js'
import type { GatewayConfiguration } from '../model/gateway-configuration.js'
import type { EndpointChange } from './endpoint-change.js'
import type { RouterContact } from './router-contact.js'

/** What a router knows that the asking one does not. */
export interface SyncAnswer {
  /** Name of the answering router. */
  readonly name: string
  /**
   * Routers between the answering one and the store: 0 if it reads the store itself, with success; Infinity if it hears of
   * the store from nobody. Only who is nearer to the store spares another router the reading.
   */
  readonly distance: number | null
  /** Changes that lead to a newer configuration from the asking router's; undefined if there are none or they are not known. */
  readonly configurationPatches: readonly ConfigurationPatch[] | undefined
  /** The configuration, if it is newer than the asking router's and the changes are not known. */
  readonly configuration: GatewayConfiguration | undefined
  /** Milliseconds since the store held nothing newer; -1 if that was never so. */
  readonly configurationAgeMs: number
  /** Changes of the endpoints since the revision that the asking router has; undefined if they are not known, or none happened. */
  readonly endpointChanges: readonly EndpointChange[] | undefined
  /** All endpoints, if the changes are not known. */
  readonly endpoints: readonly EndpointEntry[] | undefined
  /** Revision of the endpoints. */
  readonly endpointsRevision: string
  /** Milliseconds since the endpoints were read from the store; -1 if they never were. */
  readonly endpointsAgeMs: number
  /** What all routers but the asking one have in flight, as `encodeLoads` writes it, in the order of the revision's endpoints. */
  readonly load: string
  /** Contexts that came to be held. */
  readonly notes: readonly HolderNote[]
  /** Where the asking router stands in the notes now. */
  readonly notesCursor: string
  /** The routers that it knows; undefined if the asking one told none, since both tell them now and then only. */
  readonly routers: readonly RouterContact[] | undefined
}
