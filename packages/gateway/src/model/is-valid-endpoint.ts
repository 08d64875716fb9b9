import type { EndpointEntry } from './endpoint-entry.js'
import { isAddress } from './is-address.js'

/** Maximum number of slots of one endpoint. With more, a single entry would outweigh all others in every sum. */
const MAXIMUM_SLOTS = 100_000

/** An object whose fields may be of any type. */
type Unchecked<Value> = { readonly [Field in keyof Value]: unknown }

/**
 * Whether a registration can be used. Those that are stored may come from any writer, and those of other routers from another version.
 * @param entry the registration
 */
export function isValidEndpoint (entry: Unchecked<EndpointEntry>): entry is EndpointEntry {
  const { id, service, address, availabilityZone, slots, isDraining, startedAt, revision } = entry
  return [id, service, availabilityZone].every(isName) && isAddress(address) && typeof isDraining === 'boolean' &&
    isCount(slots) && slots >= 1 && slots <= MAXIMUM_SLOTS && isCount(startedAt) && isCount(revision)
}

function isName (value: unknown): boolean {
  return typeof value === 'string' && value !== ''
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}
