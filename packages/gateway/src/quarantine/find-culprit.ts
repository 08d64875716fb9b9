import type { PartRecord } from './part-record.js'

/**
 * Finds the prompt part that explains crashes best which no quarantined part explains.
 *
 * Parts that accompany the culprit in its prompts have as many crashes. One that was never answered is chosen before those that
 * were, and the deepest of them, since it is in the fewest prompts. If the cause lies in another one, crashes go on, and that one gets
 * ahead of each deeper one.
 * @param records records of all suspect parts
 * @returns undefined if no part has enough crashes
 */
export function findCulprit (records: Iterable<PartRecord>): PartRecord | undefined {
  const all = [...records]
  const quarantined = all.filter(({ isQuarantined }) => isQuarantined)
  const isExplained = (crashId: string): boolean => quarantined.some((record) => record.has(crashId))
  const candidates = all.filter((record) => !record.isQuarantined && record.isCulpritWithout(isExplained)).sort(mostLikelyFirst)
  const [likeliest] = candidates
  if (likeliest === undefined) return undefined
  return candidates.find((record) => record.outweighs(likeliest)) ?? likeliest
}

function mostLikelyFirst (left: PartRecord, right: PartRecord): number {
  return Number(left.wasAnswered) - Number(right.wasAnswered) || right.depth - left.depth || right.crashes.size - left.crashes.size ||
    // Makes the order the same on every router.
    (left.id < right.id ? -1 : 1)
}
