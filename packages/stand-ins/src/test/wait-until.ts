/** Waits for a condition, with a bound. */
export async function waitUntil (condition: () => boolean, boundMs = 10_000): Promise<void> {
  const until = Date.now() + boundMs
  while (!condition()) {
    if (Date.now() > until) throw new Error(`not within ${boundMs} ms: ${condition.toString()}`)
    await new Promise((resolve) => setTimeout(resolve, 2))
  }
}
