import { expect, test, vi } from 'vitest'
import { StallWatch } from '@mimosarock/gateway/sending/stall-watch.js'
import type { WatchedCall } from '@mimosarock/gateway/sending/watched-call.js'

/** Longer than all time limits of a watch. */
const PAUSE_MS = 60_000

/** Call that records how often it was reported as stalled. */
class TestCall implements WatchedCall {
  readonly endpointId: string
  isPaused = false
  receivedParts = 0
  usableBytes = 0
  readonly stalls: boolean[] = []

  constructor (endpointId: string) {
    this.endpointId = endpointId
  }

  onStalled (isEndpointSilent: boolean): void {
    this.stalls.push(isEndpointSilent)
  }

  receive (bytes: number): void {
    this.receivedParts += 1
    this.usableBytes += bytes
  }
}

function watchCalls (...endpointIds: string[]): { watch: StallWatch, calls: TestCall[], check: (count: number, each?: () => void) => void } {
  const watch = new StallWatch()
  const calls = endpointIds.map((endpointId) => new TestCall(endpointId))
  for (const call of calls) watch.add(call)
  const check = (count: number, each: () => void = () => undefined): void => {
    for (let index = 0; index < count; index += 1) {
      each()
      watch.check()
    }
  }
  return { watch, calls, check }
}

test('an endpoint that sends nothing while calls to it are in progress is silent, and its calls are stalled soon after', () => {
  const { watch, calls: [dark, live], check } = watchCalls('dark', 'live')
  check(6, () => live?.receive(10))
  expect(watch.isSilent('dark')).toBe(false)
  check(1, () => live?.receive(10))
  expect([watch.isSilent('dark'), watch.isSilent('live'), dark?.stalls]).toEqual([true, false, []])
  check(5, () => live?.receive(10))
  expect([dark?.stalls, live?.stalls]).toEqual([[true], []])
})

test('a slow but sound stream is never stalled', () => {
  const { calls: [slow], check } = watchCalls('e')
  let checks = 0
  check(300, () => {
    checks += 1
    if (checks % 11 === 0) slow?.receive(20)
  })
  expect(slow?.stalls).toEqual([])
})

test('a stream that trickles bytes without completing an event is stalled although its endpoint is not silent', () => {
  const { watch, calls: [trickling], check } = watchCalls('e')
  check(19, () => trickling?.receive(0))
  expect([trickling?.stalls, watch.isSilent('e')]).toEqual([[], false])
  check(1, () => trickling?.receive(0))
  expect(trickling?.stalls).toEqual([false])
})

test('a call waits longer at an endpoint that sends on other calls', () => {
  const { calls: [waiting, other], check } = watchCalls('e', 'e')
  check(19, () => other?.receive(10))
  expect(waiting?.stalls).toEqual([])
  check(1, () => other?.receive(10))
  expect(waiting?.stalls).toEqual([false])
})

test('an endpoint that has just answered another call is not silent', () => {
  const { watch, calls: [waiting], check } = watchCalls('e')
  check(30, () => {
    const short = new TestCall('e')
    watch.add(short)
    short.receive(5)
    watch.remove(short)
  })
  expect([watch.isSilent('e'), (waiting?.stalls.length ?? 0) > 0, waiting?.stalls.includes(true)]).toEqual([false, true, false])
})

test('a call whose caller is slow to read is not stalled', () => {
  const { watch, calls: [paused], check } = watchCalls('e')
  if (paused !== undefined) paused.isPaused = true
  check(50)
  expect([paused?.stalls, watch.isSilent('e')]).toEqual([[], false])
})

test('an endpoint without calls in progress is not silent', () => {
  const { watch, calls: [call], check } = watchCalls('e')
  check(8)
  expect(watch.isSilent('e')).toBe(true)
  watch.remove(call as TestCall)
  check(1)
  expect(watch.isSilent('e')).toBe(false)
})

test('a pause of the process, in which no checks happen, does not count against the endpoint', () => {
  vi.useFakeTimers()
  try {
    const { watch, calls: [call], check } = watchCalls('e')
    check(3)
    vi.setSystemTime(Date.now() + PAUSE_MS)
    vi.spyOn(performance, 'now').mockReturnValue(performance.now() + PAUSE_MS)
    // The first check after a pause, however long, counts as one.
    check(1)
    expect([watch.isSilent('e'), call?.stalls]).toEqual([false, []])
  } finally {
    vi.restoreAllMocks()
    vi.useRealTimers()
  }
})
