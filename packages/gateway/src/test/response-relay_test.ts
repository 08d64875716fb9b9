import type { ServerResponse } from 'node:http'
import { expect, test } from 'vitest'
import type { ResponseHead } from '@mimosarock/gateway/model/response-head.js'
import { ProcessStalls } from '@mimosarock/gateway/responses/process-stalls.js'
import { ResponseRelay } from '@mimosarock/gateway/responses/response-relay.js'

const EVENT = Buffer.from('id: 1\ndata: a\n\n')
const LONG_PAUSE_MS = 1_000

/** Relays an event to a caller that takes nothing for some time, and returns what is wrong with the end of the response. */
function problemAfterPause (pauseMs: number, { isDelimited = false, isResumed = true, maximumUnsentBytes = 1 } = {}): string | undefined {
  const clock = { ms: 5_000 }
  const response = { writeHead: () => undefined, write: () => false, writableLength: 100 }
  const relay = new ResponseRelay({
    response: response as unknown as ServerResponse,
    isStream: true,
    memory: { recordWritten: () => undefined, holdEvent: () => true, maximumUnsentBytes },
    now: () => clock.ms,
    stalls: { hasStalledSince: () => false },
    closesConnection: () => false,
    onStart: () => undefined
  })
  const head: Partial<ResponseHead> = { status: 200, headers: [], isDelimited, contentType: 'text/event-stream' }
  relay.start(head as ResponseHead)
  expect(relay.data(EVENT)).toBe(maximumUnsentBytes > 100)
  clock.ms += pauseMs
  if (isResumed) relay.resumed()
  expect(relay.wasUnread).toBe(pauseMs >= LONG_PAUSE_MS && maximumUnsentBytes <= 100)
  return relay.findProblem(true)
}

test('only an end that nothing but the connection marks, after a long pause of the response, is taken for a cut', () => {
  expect(problemAfterPause(LONG_PAUSE_MS)).toContain('not read')
  expect(problemAfterPause(LONG_PAUSE_MS, { isResumed: false })).toContain('not read')
  expect(problemAfterPause(LONG_PAUSE_MS - 1)).toBe(undefined)
  expect(problemAfterPause(LONG_PAUSE_MS, { isDelimited: true })).toBe(undefined)
  expect(problemAfterPause(LONG_PAUSE_MS, { maximumUnsentBytes: Infinity })).toBe(undefined)
})

// Guards against MIXED as in review/8: while a router stood still, the endpoint cut off its response, whose beginning looked like a whole one.
test('an end that nothing but the connection marks is taken for a cut if the process stood still since the call began', () => {
  const clock = { ms: 5_000, now (): number { return this.ms } }
  const stalls = new ProcessStalls(clock)
  const problemAfter = (stallMs: number, { isDelimited = false, isNextCall = false, isNoticed = true } = {}): string | undefined => {
    const relay = new ResponseRelay({
      response: { writeHead: () => undefined, write: () => true, writableLength: 0 } as unknown as ServerResponse,
      isStream: true,
      memory: { recordWritten: () => undefined, holdEvent: () => true, maximumUnsentBytes: Infinity },
      stalls,
      now: () => clock.ms,
      closesConnection: () => false,
      onStart: () => undefined
    })
    stalls.check()
    clock.ms += stallMs
    if (isNoticed) stalls.check()
    if (isNextCall) relay.prepareResumption()
    relay.start({ status: 200, headers: [], isDelimited, contentType: 'text/event-stream' } as Partial<ResponseHead> as ResponseHead)
    relay.data(EVENT)
    return relay.findProblem(true)
  }
  expect(problemAfter(LONG_PAUSE_MS)).toContain('not read')
  expect(problemAfter(LONG_PAUSE_MS - 1)).toBe(undefined)
  expect(problemAfter(LONG_PAUSE_MS, { isNoticed: false })).toContain('not read')
  expect(problemAfter(LONG_PAUSE_MS, { isDelimited: true })).toBe(undefined)
  expect(problemAfter(LONG_PAUSE_MS, { isNextCall: true })).toBe(undefined)
})
