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

function createAdmission (limit: number | ((hasContext: boolean) => number), maximumQueued = 4): { clock: ManualClock, admission: EndpointAdmission } {
  const clock = new ManualClock()
  const limitOf = typeof limit === 'number' ? () => limit : limit
  return { clock, admission: new EndpointAdmission({ endpoint: 'engine-1', capacity: 16, limit: limitOf, maximumQueued, clock }) }
}

/** Returns the outcome of an admission: `admitted`, the name of the result code if refused, or `waiting` if unsettled. */
async function outcomeOf (promise: Promise<AdmissionTicket>): Promise<string> {
  const waiting = new Promise<string>((resolve) => setImmediate(() => resolve('waiting')))
  const settled = promise.then(() => 'admitted', (error: unknown) => {
    if (!(error instanceof MimosarockError)) throw error
    expect(error.run).toBe(RunState.NOT_RUN)
    return Object.entries(ResultCode).find(([, code]) => code === error.code)?.[0] ?? ''
  })
  return await Promise.race([settled, waiting])
}

/** Runs one request to completion with the given time to first byte and service time. */
async function completeRequest (admission: EndpointAdmission, clock: ManualClock, firstByteMs: number, serviceMs: number): Promise<void> {
  const ticket = await admission.admit(request(), 0)
  await clock.advance(firstByteMs)
  ticket.recordFirstByte()
  await clock.advance(serviceMs - firstByteMs)
  ticket.release()
}

describe('an endpoint at its load limit', () => {
  test.each([
    { name: 'refuses immediately if queueing is disabled', waitMs: 0, changes: {}, expected: 'ENDPOINT_OVER_BOUND' },
    { name: 'queues a request that can wait', waitMs: 2_000, changes: {}, expected: 'waiting' },
    { name: 'refuses a request whose first byte would miss the deadline', waitMs: 2_000, changes: { remainingMs: 1_050 }, expected: 'DEADLINE_CANNOT_BE_MET' },
    { name: 'refuses a request whose estimated queueing delay exceeds the maximum wait', waitMs: 900, changes: {}, expected: 'ENDPOINT_OVER_BOUND' }
  ])('$name', async ({ waitMs, changes, expected }) => {
    const { clock, admission } = createAdmission(1)
    await completeRequest(admission, clock, 100, 1_000)
    await admission.admit(request(), 0)
    expect(await outcomeOf(admission.admit(request(changes), waitMs))).toBe(expected)
  })

  test('returns a retry delay with the refusal', async () => {
    const { clock, admission } = createAdmission(1)
    await completeRequest(admission, clock, 100, 1_000)
    await admission.admit(request(), 0)
    await expect(admission.admit(request(), 0)).rejects.toMatchObject({ retryAfterMs: 1_000 })
  })

  test('refuses only the surging workspace when the queue is full', async () => {
    const { admission } = createAdmission(1, 3)
    await admission.admit(request(), 0)
    const surge = [1, 2, 3].map(() => admission.admit(request(), 5_000))
    const fourth = admission.admit(request(), 5_000)
    const other = admission.admit(request({ workspace: 'beta' }), 5_000)
    expect(await Promise.all([...surge, fourth, other].map(outcomeOf))).toEqual(
      ['waiting', 'waiting', 'QUEUE_FULL', 'QUEUE_FULL', 'waiting'])
  })

  test.each([
    { name: 'a release', act: async (ticket: AdmissionTicket) => ticket.release(), expected: 'admitted', inFlight: 1, queued: 0 },
    { name: 'expiry of the maximum wait', act: async (_: AdmissionTicket, clock: ManualClock) => await clock.advance(500), expected: 'ENDPOINT_OVER_BOUND', inFlight: 1, queued: 0 },
    { name: 'cancellation by the caller', act: async (_: AdmissionTicket, __: ManualClock, caller: AbortController) => caller.abort(), expected: 'CALLER_GONE', inFlight: 1, queued: 0 },
    { name: 'rejection of the queue of a leaving endpoint', act: async (_: AdmissionTicket, __: ManualClock, ___: AbortController, admission: EndpointAdmission) => admission.rejectQueued(new MimosarockError(ResultCode.ENDPOINT_LEAVING, 'leaving')), expected: 'ENDPOINT_LEAVING', inFlight: 1, queued: 0 }
  ])('a queued request is settled by $name', async ({ act, expected, inFlight, queued }) => {
    const { clock, admission } = createAdmission(1)
    const caller = new AbortController()
    const ticket = await admission.admit(request(), 0)
    const waiting = admission.admit(request(), 500, caller.signal)
    expect(await outcomeOf(waiting)).toBe('waiting')
    await act(ticket, clock, caller, admission)
    expect(await outcomeOf(waiting)).toBe(expected)
    expect(admission).toMatchObject({ inFlight, queued })
  })

  test('admits queued requests when the limit increases', async () => {
    let limit = 1
    const { admission } = createAdmission(() => limit)
    await admission.admit(request(), 0)
    const waiting = admission.admit(request(), 500)
    limit = 2
    admission.admitQueued()
    expect(await outcomeOf(waiting)).toBe('admitted')
  })

  test('does not admit a new request ahead of queued ones', async () => {
    const { admission } = createAdmission(2)
    const ticket = await admission.admit(request({ load: 1.5 }), 0)
    const large = admission.admit(request({ load: 2 }), 500)
    expect(await outcomeOf(admission.admit(request({ load: 0.5 }), 0))).toBe('ENDPOINT_OVER_BOUND')
    ticket.release()
    expect(await outcomeOf(large)).toBe('admitted')
  })
})

test('requests without cached context are admitted up to a lower load', async () => {
  const { admission } = createAdmission((hasContext) => hasContext ? 3 : 2)
  await admission.admit(request({ hasContext: false }), 0)
  await admission.admit(request({ hasContext: false }), 0)
  expect(await outcomeOf(admission.admit(request({ hasContext: false }), 0))).toBe('ENDPOINT_OVER_BOUND')
  expect(await outcomeOf(admission.admit(request(), 0))).toBe('admitted')
})

test('a slow endpoint refuses short deadlines only while a request is in flight that can provide a new sample', async () => {
  const { clock, admission } = createAdmission(4)
  await completeRequest(admission, clock, 2_000, 3_000)
  const running = await admission.admit(request({ remainingMs: 500 }), 0)
  expect(await outcomeOf(admission.admit(request({ remainingMs: 500 }), 0))).toBe('DEADLINE_CANNOT_BE_MET')
  running.release()
  expect(await outcomeOf(admission.admit(request({ remainingMs: 500 }), 0))).toBe('admitted')
})

test('a load report reveals requests dispatched by another owner', async () => {
  const { clock, admission } = createAdmission(8)
  const tickets = await Promise.all([1, 2, 3, 4].map(async () => await admission.admit(request(), 0)))
  admission.recordLoadReport(4)
  expect(admission.load).toBe(4)
  admission.recordLoadReport(8)
  expect(admission.load).toBe(8)
  expect(await outcomeOf(admission.admit(request(), 0))).toBe('ENDPOINT_OVER_BOUND')
  // A lagging report still includes the released requests, which are not external load.
  for (const ticket of tickets) ticket.release()
  admission.recordLoadReport(4)
  expect(admission.load).toBe(0)
  await clock.advance(5_000)
  admission.recordLoadReport(4)
  expect(admission.load).toBe(4)
  await clock.advance(10_000)
  expect(admission.load).toBe(0)
})

test('load never exceeds the limit and returns to zero', async () => {
  const steps = fc.array(fc.record({ load: fc.double({ min: 0.1, max: 3, noNaN: true }), release: fc.boolean() }), { maxLength: 60 })
  await fc.assert(fc.asyncProperty(steps, async (drawn) => {
    const { admission } = createAdmission(5, 100)
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
