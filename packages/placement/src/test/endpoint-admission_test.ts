import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { AdmissionRequest } from '../admission-request.js'
import type { AdmissionTicket } from '../admission-ticket.js'
import { EndpointAdmission } from '../endpoint-admission.js'
import { ManualClock } from './manual-clock.js'

const request = (changes: Partial<AdmissionRequest> = {}): AdmissionRequest =>
  ({ workspace: 'alpha', priority: 0, weight: 1, load: 1, hasContext: true, remainingMs: 10_000, ...changes })

function admissionAt (limit: number | ((hasContext: boolean) => number), maximumQueued = 4): { clock: ManualClock, admission: EndpointAdmission } {
  const clock = new ManualClock()
  const read = typeof limit === 'number' ? () => limit : limit
  return { clock, admission: new EndpointAdmission({ endpoint: 'engine-1', capacity: 16, limit: read, maximumQueued, clock }) }
}

/** Outcome of a promise as text: `admitted`, the name of the refusal's code, or `waiting`. */
async function outcome (promise: Promise<AdmissionTicket>): Promise<string> {
  const waiting = new Promise<string>((resolve) => setImmediate(() => resolve('waiting')))
  const settled = promise.then(() => 'admitted', (error: unknown) => {
    if (!(error instanceof MimosarockError)) throw error
    expect(error.run).toBe(RunState.NOT_RUN)
    return Object.entries(ResultCode).find(([, code]) => code === error.code)?.[0] ?? ''
  })
  return await Promise.race([settled, waiting])
}

/** Makes one request of known times run through. */
async function serve (admission: EndpointAdmission, clock: ManualClock, firstByteMs: number, serviceMs: number): Promise<void> {
  const ticket = await admission.admit(request(), 0)
  await clock.advance(firstByteMs)
  ticket.noteFirstByte()
  await clock.advance(serviceMs - firstByteMs)
  ticket.release()
}

describe('a full endpoint', () => {
  test.each([
    { name: 'refuses at once without a wait', waitMs: 0, changes: {}, expected: 'ENDPOINT_OVER_BOUND' },
    { name: 'queues what can wait', waitMs: 2_000, changes: {}, expected: 'waiting' },
    { name: 'refuses what can not get its first byte in time', waitMs: 2_000, changes: { remainingMs: 1_050 }, expected: 'DEADLINE_CANNOT_BE_MET' },
    { name: 'refuses what would wait too long', waitMs: 900, changes: {}, expected: 'ENDPOINT_OVER_BOUND' }
  ])('$name', async ({ waitMs, changes, expected }) => {
    const { clock, admission } = admissionAt(1)
    await serve(admission, clock, 100, 1_000)
    await admission.admit(request(), 0)
    expect(await outcome(admission.admit(request(changes), waitMs))).toBe(expected)
  })

  test('says when to come back', async () => {
    const { clock, admission } = admissionAt(1)
    await serve(admission, clock, 100, 1_000)
    await admission.admit(request(), 0)
    await expect(admission.admit(request(), 0)).rejects.toMatchObject({ retryAfterMs: 1_000 })
  })

  test('refuses the surging workspace when the queue is full, not the others', async () => {
    const { admission } = admissionAt(1, 3)
    await admission.admit(request(), 0)
    const surge = [1, 2, 3].map(() => admission.admit(request(), 5_000))
    const fourth = admission.admit(request(), 5_000)
    const other = admission.admit(request({ workspace: 'beta' }), 5_000)
    expect(await Promise.all([...surge, fourth, other].map(outcome))).toEqual(
      ['waiting', 'waiting', 'QUEUE_FULL', 'QUEUE_FULL', 'waiting'])
  })

  test.each([
    { name: 'a release', act: async (ticket: AdmissionTicket) => ticket.release(), expected: 'admitted', inFlight: 1, queued: 0 },
    { name: 'the end of its wait', act: async (_: AdmissionTicket, clock: ManualClock) => await clock.advance(500), expected: 'ENDPOINT_OVER_BOUND', inFlight: 1, queued: 0 },
    { name: 'a caller that gives up', act: async (_: AdmissionTicket, __: ManualClock, caller: AbortController) => caller.abort(), expected: 'CALLER_GONE', inFlight: 1, queued: 0 },
    { name: 'an endpoint that leaves', act: async (_: AdmissionTicket, __: ManualClock, ___: AbortController, admission: EndpointAdmission) => admission.refuseQueued(new MimosarockError(ResultCode.ENDPOINT_LEAVING, 'leaving')), expected: 'ENDPOINT_LEAVING', inFlight: 1, queued: 0 }
  ])('ends a wait by $name', async ({ act, expected, inFlight, queued }) => {
    const { clock, admission } = admissionAt(1)
    const caller = new AbortController()
    const ticket = await admission.admit(request(), 0)
    const waiting = admission.admit(request(), 500, caller.signal)
    expect(await outcome(waiting)).toBe('waiting')
    await act(ticket, clock, caller, admission)
    expect(await outcome(waiting)).toBe(expected)
    expect(admission).toMatchObject({ inFlight, queued })
  })

  test('admits what waits once the limit grows', async () => {
    let limit = 1
    const { admission } = admissionAt(() => limit)
    await admission.admit(request(), 0)
    const waiting = admission.admit(request(), 500)
    limit = 2
    admission.recheck()
    expect(await outcome(waiting)).toBe('admitted')
  })

  test('lets nothing pass those that wait', async () => {
    const { admission } = admissionAt(2)
    const ticket = await admission.admit(request({ load: 1.5 }), 0)
    const large = admission.admit(request({ load: 2 }), 500)
    expect(await outcome(admission.admit(request({ load: 0.5 }), 0))).toBe('ENDPOINT_OVER_BOUND')
    ticket.release()
    expect(await outcome(large)).toBe('admitted')
  })
})

test('requests without context here are admitted to a lower load', async () => {
  const { admission } = admissionAt((hasContext) => hasContext ? 3 : 2)
  await admission.admit(request({ hasContext: false }), 0)
  await admission.admit(request({ hasContext: false }), 0)
  expect(await outcome(admission.admit(request({ hasContext: false }), 0))).toBe('ENDPOINT_OVER_BOUND')
  expect(await outcome(admission.admit(request(), 0))).toBe('admitted')
})

test('a slow endpoint refuses short deadlines only while something runs that can show it to be faster', async () => {
  const { clock, admission } = admissionAt(4)
  await serve(admission, clock, 2_000, 3_000)
  const running = await admission.admit(request({ remainingMs: 500 }), 0)
  expect(await outcome(admission.admit(request({ remainingMs: 500 }), 0))).toBe('DEADLINE_CANNOT_BE_MET')
  running.release()
  expect(await outcome(admission.admit(request({ remainingMs: 500 }), 0))).toBe('admitted')
})

test('a report shows what another owner runs there', async () => {
  const { clock, admission } = admissionAt(8)
  const tickets = await Promise.all([1, 2, 3, 4].map(async () => await admission.admit(request(), 0)))
  admission.noteReport(4)
  expect(admission.load).toBe(4)
  admission.noteReport(8)
  expect(admission.load).toBe(8)
  expect(await outcome(admission.admit(request(), 0))).toBe('ENDPOINT_OVER_BOUND')
  // A report that lags still shows what was released, which is no foreign load.
  for (const ticket of tickets) ticket.release()
  admission.noteReport(4)
  expect(admission.load).toBe(0)
  await clock.advance(5_000)
  admission.noteReport(4)
  expect(admission.load).toBe(4)
  await clock.advance(10_000)
  expect(admission.load).toBe(0)
})

test('load never passes the limit and comes back to zero', async () => {
  const steps = fc.array(fc.record({ load: fc.double({ min: 0.1, max: 3, noNaN: true }), release: fc.boolean() }), { maxLength: 60 })
  await fc.assert(fc.asyncProperty(steps, async (drawn) => {
    const { admission } = admissionAt(5, 100)
    const tickets: AdmissionTicket[] = []
    const caller = new AbortController()
    for (const step of drawn) {
      admission.admit(request({ load: step.load }), 1_000, caller.signal).then((ticket) => tickets.push(ticket), () => {})
      await Promise.resolve()
      expect(admission.load).toBeLessThanOrEqual(5 + 1e-6)
      if (step.release) tickets.shift()?.release()
    }
    caller.abort()
    await new Promise((resolve) => setImmediate(resolve))
    for (const ticket of tickets) {
      ticket.release()
      ticket.release()
    }
    expect(admission).toMatchObject({ inFlight: 0, queued: 0, load: 0 })
  }), { seed: 8 })
})
