/**
 * Returns the level of a max-min fair division: each demand gets what it asks for, or the level if it asks for more, and all together get the
 * capacity (Bertsekas and Gallager, "Data Networks", 1992, section 6.5.2).
 * @param demands the demands, in any order and unit
 * @param capacity what is divided, in the same unit
 * @returns Infinity if the capacity suffices for all demands
 */
export function fairLevel (demands: readonly number[], capacity: number): number {
  const ascending = [...demands].sort((one, other) => one - other)
  let remaining = capacity
  for (const [index, demand] of ascending.entries()) {
    const level = remaining / (ascending.length - index)
    if (demand > level) return Math.max(0, level)
    remaining -= demand
  }
  return Infinity
}
