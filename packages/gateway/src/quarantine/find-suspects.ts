import type { LostCall } from './lost-call.js'
import { requestSuspectId } from './request-suspect-id.js'
import { sharedParts } from './shared-parts.js'
import type { Suspect } from './suspect.js'

/** Depth of whole requests, below all parts of all prompts. */
const REQUEST_DEPTH = 1_000_000

/**
 * Returns what may have crashed an endpoint.
 * @param calls calls that the endpoint has lost
 */
export function findSuspects (calls: readonly LostCall[]): Suspect[] {
  const suspects = new Map<string, Suspect>()
  for (const { content, hasBegun } of calls) {
    if (!hasBegun) sharedParts(content.prompt).forEach(({ id }, depth) => suspects.set(id, { id, depth }))
    const id = requestSuspectId.of(content.fingerprint)
    suspects.set(id, { id, depth: REQUEST_DEPTH })
  }
  return [...suspects.values()]
}
