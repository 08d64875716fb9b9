import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collect = runInNewContext('gc') as () => void
/** A module's variable, so that neither a register nor the compiler decides how long the object lives. */
const holder: { kept: unknown } = { kept: undefined }

/**
 * Bytes of the heap that an object holds.
 * @param make makes the object, with nothing else that stays
 */
export function heldBytes (make: () => unknown): number {
  // The first run also compiles and fills caches; its memory is not the object's.
  holder.kept = make()
  holder.kept = undefined
  const before = usedBytes()
  holder.kept = make()
  const after = usedBytes()
  holder.kept = undefined
  return after - before
}

/** Collected twice, because buffers outside the heap are freed only after their owners. */
function usedBytes (): number {
  collect()
  collect()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}
