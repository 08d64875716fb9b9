import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void
/** Holds the object at module level, so that compiler optimizations cannot shorten its lifetime. */
const retained: { value: unknown } = { value: undefined }

/**
 * Measures the memory that an object retains, on the heap and in external buffers.
 * @param create creates the object and must retain nothing else
 * @returns size in bytes
 */
export function retainedBytes (create: () => unknown): number {
  // The first run also compiles code and fills caches, which must not count as memory of the object.
  retained.value = create()
  retained.value = undefined
  const before = usedBytes()
  retained.value = create()
  const after = usedBytes()
  retained.value = undefined
  return after - before
}

/** Collects garbage twice, because external buffers are freed only after the objects that own them. */
function usedBytes (): number {
  collectGarbage()
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}
