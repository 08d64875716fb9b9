/** Polls until a condition holds or a timeout expires; resolves with whether it held. */
export async function eventually (condition: () => boolean, timeoutMs = 20_000): Promise<boolean> {
  const deadline = performance.now() + timeoutMs
  while (!condition()) {
    if (performance.now() > deadline) return false
    await new Promise((resolve) => setTimeout(resolve, 10))
  }
  return true
}
