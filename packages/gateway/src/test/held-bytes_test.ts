import { expect, test } from 'vitest'
import { HeldBytes } from '@mimosarock/gateway/memory/held-bytes.js'
import type { HeldConnection } from '@mimosarock/gateway/memory/held-connection.js'
import { seededRandom } from './seeded-random.js'

const MEMORY_BYTES = 40_000_000
const BOUND = MEMORY_BYTES / 4
const CHUNK_BYTES = 16_384
/** Unsent bytes at which the relay of one response pauses it in any case. */
const PAUSE_BYTES = 262_144

/** A caller that reads so many bytes in each step, and whether its response was paused or closed. */
interface Caller {
  readonly bytesPerStep: number
  readonly held: HeldConnection
  unsent: number
  isClosed: boolean
  pauses: number
}

/** Lets endpoints send to callers for some steps, as fast as the responses are not paused. Returns the callers and the highest total. */
function relay (heldBytes: HeldBytes, readingSpeeds: readonly number[], steps = 200) {
  const random = seededRandom(11)
  let highest = 0
  const callers = readingSpeeds.map((bytesPerStep): Caller => {
    const close = (): void => {
      Object.assign(caller, { isClosed: true, unsent: 0 })
      caller.held.responseClosed()
    }
    const caller: Caller = { bytesPerStep, unsent: 0, isClosed: false, pauses: 0, held: heldBytes.add({ unsentBytes: () => caller.unsent, closeSlow: close }) }
    return caller
  })
  for (let step = 0; step < steps; step += 1) {
    for (const caller of callers) {
      if (caller.isClosed) continue
      caller.unsent = Math.max(0, caller.unsent - caller.bytesPerStep * (0.5 + random()))
      if (caller.unsent >= Math.min(PAUSE_BYTES, caller.held.maximumUnsentBytes)) {
        caller.pauses += 1
        continue
      }
      caller.unsent += CHUNK_BYTES
      caller.held.recordWritten(CHUNK_BYTES)
      highest = Math.max(highest, heldBytes.total)
    }
  }
  return { callers, highest }
}

const times = (count: number, speed: number): number[] => Array.from({ length: count }, () => speed)

test('many slow callers at once: what they hold together exceeds the bound by one chunk each at most, and no connection is closed', () => {
  const count = 200
  const { callers, highest } = relay(new HeldBytes({ memoryBytes: MEMORY_BYTES }), times(count, 100))
  // Without the bound they hold 200 times 262,144 bytes, five times as much.
  expect(highest).toBeGreaterThan(BOUND * 0.9)
  expect(highest).toBeLessThanOrEqual(BOUND + count * CHUNK_BYTES)
  expect(callers.filter(({ isClosed }) => isClosed)).toEqual([])
})

test('so many slow callers that pauses are not enough: those with the most unsent bytes are closed, twice the bound is kept, and fast callers are neither paused nor closed', () => {
  const heldBytes = new HeldBytes({ memoryBytes: MEMORY_BYTES })
  const slowest = relay(heldBytes, times(60, 0))
  const { callers, highest } = relay(heldBytes, [...times(1_400, 0), ...times(50, PAUSE_BYTES)], 60)
  expect(highest).toBeLessThan(BOUND * 2 + BOUND / 32)
  expect(slowest.callers.some(({ isClosed }) => isClosed)).toBe(true)
  expect(callers.filter(({ isClosed, pauses, bytesPerStep }) => (isClosed || pauses > 0) && bytesPerStep > 0)).toEqual([])
})

test('a caller that has a moment ago been sent more than slow ones hold is not closed in their place', () => {
  const heldBytes = new HeldBytes({ memoryBytes: MEMORY_BYTES })
  const closed: number[] = []
  const slow = Array.from({ length: 3_000 }, (_, index) => heldBytes.add({ unsentBytes: () => BOUND / 1_500, closeSlow: () => closed.push(index) }))
  for (const held of slow) held.recordWritten(BOUND / 1_500)
  const fast = heldBytes.add({ unsentBytes: () => CHUNK_BYTES * 4, closeSlow: () => closed.push(-1) })
  fast.recordWritten(BOUND)
  expect(closed.length).toBeGreaterThan(0)
  expect(closed).not.toContain(-1)
})

test('one caller that reads nothing among fast ones: it is paused at the limit of one response, and nothing happens to the others', () => {
  const heldBytes = new HeldBytes({ memoryBytes: MEMORY_BYTES })
  const { callers: [slow, ...fast] } = relay(heldBytes, [0, ...times(300, PAUSE_BYTES)])
  expect([slow?.unsent, slow?.isClosed, heldBytes.maximumUnsentBytes]).toEqual([PAUSE_BYTES, false, Infinity])
  expect(fast.filter(({ pauses, isClosed }) => pauses > 0 || isClosed)).toEqual([])
})

test('nobody is slow, or there is no memory limit: no response is paused by the bound', () => {
  const limited = new HeldBytes({ memoryBytes: MEMORY_BYTES })
  expect(relay(limited, times(300, PAUSE_BYTES)).callers.some(({ pauses }) => pauses > 0)).toBe(false)
  expect(limited.maximumUnsentBytes).toBe(Infinity)
  const unlimited = new HeldBytes({ memoryBytes: undefined })
  relay(unlimited, times(300, 0))
  expect([unlimited.maximumUnsentBytes, unlimited.add({ unsentBytes: () => 0, closeSlow: () => undefined }).holdBody(BOUND * 10)]).toEqual([Infinity, true])
})

test('callers that catch up end the pauses of others', () => {
  const heldBytes = new HeldBytes({ memoryBytes: MEMORY_BYTES })
  const { callers } = relay(heldBytes, times(200, 0))
  expect(heldBytes.maximumUnsentBytes).toBeLessThan(PAUSE_BYTES)
  for (const caller of callers) caller.unsent = 0
  relay(heldBytes, times(10, PAUSE_BYTES))
  expect(heldBytes.maximumUnsentBytes).toBe(Infinity)
})

test('a request body beyond the bound is refused; a larger unfinished one makes room for a small one, a finished one never does', () => {
  const heldBytes = new HeldBytes({ memoryBytes: MEMORY_BYTES })
  const refused: string[] = []
  const [finished, large, medium, small] = ['finished', 'large', 'medium', 'small'].map((name) => {
    const held = heldBytes.add({ unsentBytes: () => 0, closeSlow: () => undefined })
    held.onRefused(() => refused.push(name))
    return held
  }) as [HeldConnection, HeldConnection, HeldConnection, HeldConnection]
  expect(finished.holdBody(BOUND * 0.5)).toBe(true)
  finished.completeBody()
  expect([large.holdBody(BOUND * 0.3), medium.holdBody(BOUND * 0.2)]).toEqual([true, true])
  expect(large.holdBody(1)).toBe(false)
  expect([small.holdBody(BOUND * 0.1), refused]).toEqual([true, ['large']])
  expect([medium.holdBody(BOUND * 0.3), refused]).toEqual([false, ['large']])
  finished.releaseReceived()
  expect([medium.holdBody(BOUND * 0.3), heldBytes.total]).toEqual([true, BOUND * 0.6])
})

// Guards against callers that do not read their responses and thereby cause the refusal of others' requests.
test('slow callers at the bound leave room for request bodies', () => {
  const heldBytes = new HeldBytes({ memoryBytes: MEMORY_BYTES })
  relay(heldBytes, times(200, 0))
  expect(heldBytes.total).toBeGreaterThan(BOUND)
  const asking = heldBytes.add({ unsentBytes: () => 0, closeSlow: () => undefined })
  expect(heldBytes.makeRoom(asking, 100)).toBe(true)
})

test('counts the responses that are not sent completely of requests that have ended', () => {
  const heldBytes = new HeldBytes({ memoryBytes: undefined })
  const [first, second] = [1, 2].map(() => heldBytes.add({ unsentBytes: () => 0, closeSlow: () => undefined })) as [HeldConnection, HeldConnection]
  expect(heldBytes.unsentResponses).toBe(0)
  first.requestEnded()
  second.requestEnded()
  expect(heldBytes.unsentResponses).toBe(2)
  first.responseClosed()
  expect(heldBytes.unsentResponses).toBe(1)
})
