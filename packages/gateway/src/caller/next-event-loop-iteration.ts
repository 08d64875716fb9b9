import { setImmediate } from 'node:timers/promises'

/** Resolves in the next iteration of the event loop, after its poll phase has read the data that was pending on connections. */
export async function nextEventLoopIteration (): Promise<void> {
  // The first callback may run in the current iteration; the second one runs after the poll phase of the next.
  await setImmediate()
  await setImmediate()
}
