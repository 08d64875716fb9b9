import { setTimeout as sleep } from 'node:timers/promises'

const INTERVAL_MS = 5

/** Waits until a condition holds; the timeout of the test ends the wait otherwise. */
export async function waitUntil (condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!await condition()) await sleep(INTERVAL_MS)
}
