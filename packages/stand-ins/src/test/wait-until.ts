/** Waits until a condition holds, and throws if it does not within the timeout. */
export async function waitUntil (condition: () => boolean, timeoutMs = 10_000): Promise<void> {
  const deadline = Date.now() + timeoutMs
  while (!condition()) {
    if (Date.now() > deadline) throw new Error(`condition not met within ${timeoutMs} ms: ${condition.toString()}`)
    await new Promise((resolve) => setTimeout(resolve, 2))
  }
}
