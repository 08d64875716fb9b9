/** Waits until a condition holds, at most a bound; gives whether it came to hold. */
export async function eventually (condition: () => boolean, boundMs = 20_000): Promise<boolean> {
  const end = performance.now() + boundMs
  while (!condition()) {
    if (performance.now() > end) return false
    await new Promise((resolve) => setTimeout(resolve, 10))
  }
  return true
}
