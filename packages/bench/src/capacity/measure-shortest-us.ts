const MICROSECONDS_PER_MILLISECOND = 1_000

/**
 * Measures the elapsed time of a function. Takes the shortest of several runs, because other processes share the
 * machine.
 * @param run function to measure
 * @param repetitions number of runs
 * @returns shortest time in microseconds
 */
export function measureShortestUs (run: () => void, repetitions: number): number {
  let shortest = Infinity
  for (let repetition = 0; repetition < repetitions; repetition += 1) {
    const startedAt = performance.now()
    run()
    shortest = Math.min(shortest, (performance.now() - startedAt) * MICROSECONDS_PER_MILLISECOND)
  }
  return shortest
}
