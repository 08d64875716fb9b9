import type { EndpointEntry } from '../model/endpoint-entry.js'

/** Records what registrations state beyond the fields that an `EndpointTable` compares. */
export interface RegistrationRecorder {
  /**
   * Records a registration, also one that was received before.
   * @param entry the registration
   * @param current registration that is in force; undefined if the endpoint is new
   * @returns whether routers that know the registration in force have to hear of this one
   */
  record (entry: EndpointEntry, current: EndpointEntry | undefined): boolean
}
