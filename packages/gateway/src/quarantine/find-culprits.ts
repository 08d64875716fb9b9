import type { SuspectRecord } from './suspect-record.js'

/** Number of crashes by which a request may be behind the most likely one and still be as likely. */
const MAXIMUM_CRASHES_BEHIND = 1

/**
 * Finds the suspects that explain the crashes best. The result depends on the crashes and answers alone, not on the order in which
 * they became known, so that routers which know the same choose the same.
 *
 * Suspects that accompany a culprit have as many crashes. One that was never answered is chosen before those that were, and of
 * those the deepest, since it is in the fewest requests; that is one whole request, if it came again so often. A part that was never answered and
 * crashes endpoints without that request too is the cause of both. If the cause lies in another one, crashes go on, and that one gets ahead of each
 * deeper one.
 * @param records records of all suspects
 */
export function findCulprits (records: Iterable<SuspectRecord>): ReadonlySet<SuspectRecord> {
  const sorted = [...records].filter(({ hasEnoughCrashes }) => hasEnoughCrashes).sort(mostLikelyFirst)
  const culprits = new Set(sorted.filter(({ isConfirmed }) => isConfirmed))
  for (let culprit = findNext(sorted, culprits); culprit !== undefined; culprit = findNext(sorted, culprits)) culprits.add(culprit)
  const chosen = [...culprits]
  for (const record of sorted) if (record.isRequest && isAsLikelyAsOneOf(chosen, record)) culprits.add(record)
  return culprits
}

// Returns whether a request has about as many crashes as the culprit that explains them. Which of both it was is not known then, and the news of
// the latest crash may not be complete; refusing one request too many harms fewer callers than another crash.
function isAsLikelyAsOneOf (culprits: readonly SuspectRecord[], record: SuspectRecord): boolean {
  if (record.wasAnswered || !record.isCulpritWithout(() => false)) return false
  const explaining = culprits.filter((culprit) => culprit.isRequest && [...record.crashes.keys()].some((crashId) => culprit.has(crashId)))
  return explaining.some((culprit) => record.crashes.size + MAXIMUM_CRASHES_BEHIND >= culprit.crashes.size)
}

// Finds the suspect that explains crashes best which none of the culprits explains; undefined if none has enough of them.
function findNext (sorted: readonly SuspectRecord[], culprits: ReadonlySet<SuspectRecord>): SuspectRecord | undefined {
  const isExplained = (crashId: string): boolean => [...culprits].some((culprit) => culprit.has(crashId))
  const isExplainedByPart = (crashId: string): boolean => [...culprits].some((culprit) => !culprit.isRequest && culprit.has(crashId))
  const sharedPart = sorted.find((record) => !culprits.has(record) && record.isCommonCause(isExplained, isExplainedByPart))
  if (sharedPart !== undefined) return sharedPart
  const candidates = sorted.filter((record) => !culprits.has(record) && record.isCulpritWithout(isExplained))
  const [likeliest] = candidates
  if (likeliest === undefined) return undefined
  return candidates.find((record) => record.outweighs(likeliest, isExplained)) ?? likeliest
}

function mostLikelyFirst (left: SuspectRecord, right: SuspectRecord): number {
  return Number(left.wasAnswered) - Number(right.wasAnswered) || right.depth - left.depth || right.crashes.size - left.crashes.size ||
    // Makes the order the same on every router.
    (left.id < right.id ? -1 : 1)
}
