import type { EraEvacuations } from './era-evacuations.js'

/** Stands for the era of a store that states none; lower than any other. */
const NO_ERA = -1

/**
 * Merges what is known of evacuations from two sources. Within an era, the higher offset wins. Eras before the newest settled one
 * are dropped. The result does not depend on the order in which sources are merged.
 * @param left what one source knows, a record for each era
 * @param right what the other source knows
 * @returns merged records, the newest era first
 */
export function mergeEvacuations (left: readonly EraEvacuations[], right: readonly EraEvacuations[]): readonly EraEvacuations[] {
  const byEra = new Map<number, EraEvacuations>()
  for (const record of [...left, ...right]) {
    const era = record.era ?? NO_ERA
    const known = byEra.get(era)
    byEra.set(era, known === undefined ? record : mergeWithinEra(known, record))
  }
  const newestFirst = [...byEra].sort(([leftEra], [rightEra]) => rightEra - leftEra).map(([, record]) => record)
  const newestSettled = newestFirst.findIndex(({ isSettled }) => isSettled)
  return newestSettled < 0 ? newestFirst : newestFirst.slice(0, newestSettled + 1)
}

function mergeWithinEra (left: EraEvacuations, right: EraEvacuations): EraEvacuations {
  const newer = left.offset >= right.offset ? left : right
  // Pages of a snapshot are read one after the other, so two snapshots with the same offset can differ. A zone in either of them
  // counts until a later record decides.
  const zones = left.offset === right.offset ? [...new Set([...left.zones, ...right.zones])].sort() : newer.zones
  return { era: newer.era, offset: newer.offset, zones, isSettled: left.isSettled || right.isSettled }
}
