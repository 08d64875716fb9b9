import type { EndpointEntry } from '../model/endpoint-entry.js'

/** What tells the registrations of an endpoint apart. */
type RegistrationVersion = Pick<EndpointEntry, 'startedAt' | 'revision'>

/**
 * Whether a registration was made before another one of the same endpoint. The store may carry out registrations late, also those of an
 * earlier incarnation.
 * @param registration the one registration
 * @param other the other one
 */
export function isEarlierRegistration (registration: RegistrationVersion, other: RegistrationVersion): boolean {
  if (registration.startedAt !== other.startedAt) return registration.startedAt < other.startedAt
  return registration.revision < other.revision
}
