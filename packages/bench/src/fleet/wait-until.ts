const CHECK_MS = 5

/**
 * Waits until a condition is true.
 * @param condition condition, checked every few milliseconds
 * @param timeoutMs maximum wait, in milliseconds
 * @param description condition for the error message, as in `the router to become ready`
 * @throws {Error} if the condition is still false after the timeout
 */
export async function waitUntil (condition: () => boolean, timeoutMs: number, description: string): Promise<void> {
  const until = performance.now() + timeoutMs
  while (!condition()) {
    if (performance.now() > until) throw new Error(`waiting for ${description} timed out after ${timeoutMs} ms`)
    await new Promise((resolve) => setTimeout(resolve, CHECK_MS))
  }
}
