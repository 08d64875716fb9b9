const CHECK_MS = 5

/**
 * Waits for a condition.
 * @param condition checked every few milliseconds
 * @param boundMs longest wait, in milliseconds
 * @param what names the condition in the error
 * @throws {Error} if the bound passes first
 */
export async function waitUntil (condition: () => boolean, boundMs: number, what: string): Promise<void> {
  const until = performance.now() + boundMs
  while (!condition()) {
    if (performance.now() > until) throw new Error(`${what}: not within ${boundMs} ms`)
    await new Promise((resolve) => setTimeout(resolve, CHECK_MS))
  }
}
