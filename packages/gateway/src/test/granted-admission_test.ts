import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ServiceAdmission } from '@mimosarock/gateway/admission/service-admission.js'
import { GrantedAdmission } from '@mimosarock/gateway/caller/granted-admission.js'
import { ChoiceReason } from '@mimosarock/gateway/choice/choice-reason.js'
import type { ChosenEndpoint } from '@mimosarock/gateway/choice/chosen-endpoint.js'
import { SlotLease } from '@mimosarock/gateway/grants/slot-lease.js'
import type { SlotRelease } from '@mimosarock/gateway/grants/slot-release.js'
import type { SlotRequest } from '@mimosarock/gateway/grants/slot-request.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import { beforeEach, expect, test } from 'vitest'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'

const REQUEST = { workspace: 'w', rank: 0, routeRank: 0, objectiveMs: 200, timeLeftMs: 1_000 }
/** Time that the owner takes to answer, in milliseconds; without a grant, the rest of the objective is shorter by twice that. */
const ANSWER_MS = 40
const { signal } = new AbortController()

let clock: SteppedClock
let asked: SlotRequest[]
let released: SlotRelease[]
/** Endpoints that the owner grants, in order; undefined if it does not answer. */
let answers: ({ readonly id: string, readonly startedAt: number } | undefined)[]
let refusal: Error | undefined
let unusable: Set<string>
/** Component that makes endpoints unusable. */
let cause: string
let usedFallback: string[]
let admission: ServiceAdmission
let isProcessFull: boolean

beforeEach(() => {
  clock = new SteppedClock()
  asked = []
  released = []
  answers = []
  refusal = undefined
  unusable = new Set()
  cause = ''
  usedFallback = []
  isProcessFull = false
  admission = new ServiceAdmission({ service: 's', clock, limit: () => Infinity, random: () => 0.5 })
})

function entry (id: string, startedAt = 1): EndpointEntry {
  return { id, service: 's', address: `${id}:1`, availabilityZone: 'z', slots: 1, isDraining: false, startedAt, revision: 1 }
}

function createPath (): GrantedAdmission {
  const endpoints = [entry('a'), entry('b'), entry('c')]
  const chosen = (endpoint: EndpointEntry): ChosenEndpoint => ({ endpoint, contextHolder: undefined, reason: ChoiceReason.GRANTED, isChosenAsPrimary: false, load: 0, bound: 1 })
  const link = { receivedCount: 0, request: () => ({ cancel: () => undefined }), release: (release: SlotRelease) => { released.push(release) } }
  return new GrantedAdmission({
    service: 's',
    prompt: [],
    client: {
      acquire: async (request) => {
        asked.push(request)
        await clock.advance(ANSWER_MS)
        if (refusal !== undefined) throw refusal
        const answer = answers.shift()
        return answer && new SlotLease({ grant: asked.length, endpointId: answer.id, startedAt: answer.startedAt, waitedMs: 0 }, 'owner', link, clock)
      }
    },
    fallback: {
      slotOwner: undefined,
      grantMs: undefined,
      tryAdmit: ({ objectiveMs }) => usedFallback.push(`admit ${objectiveMs}`) > 0,
      wait: async () => undefined,
      choose: () => { usedFallback.push('choose'); return undefined },
      endCall: () => undefined,
      recordDispatch: () => undefined,
      withdraw: () => undefined,
      release: () => undefined
    },
    admission,
    isProcessFull: () => isProcessFull,
    endpoints: { find: (id) => endpoints.find((endpoint) => endpoint.id === id), ready: () => endpoints },
    selector: { isUsable: ({ id }) => cause !== 'selector' || !unusable.has(id), chooseGranted: chosen, preferredFor: () => undefined },
    health: { preferHealthy: (all) => all.filter(({ id }) => cause !== 'health' || !unusable.has(id)) },
    permits: { allows: ({ id }) => cause !== 'permits' || !unusable.has(id) },
    clock,
    timeLeftMs: () => 1_000
  })
}

// Guards against a request to an endpoint that has restarted or left, and against slots that stay granted.
test.each(['selector', 'health', 'permits'])('releases a grant that it cannot use (%s) and asks for another one, without that endpoint', async (component) => {
  cause = component
  answers = [{ id: 'a', startedAt: 7 }, { id: 'b', startedAt: 1 }, { id: 'c', startedAt: 1 }]
  const path = createPath()
  expect(path.tryAdmit(REQUEST)).toBe(false)
  await path.wait(REQUEST, signal)
  unusable.add('b')
  const chosen = await path.choose({ excluded: new Set() }, signal)
  expect(chosen?.endpoint.id).toBe('c')
  expect(released).toMatchObject([{ grant: 1, outcome: 'unused' }, { grant: 2, outcome: 'unused' }])
  expect(asked.map(({ excluded }) => excluded)).toEqual([[], ['a', 'b'], ['a', 'b']])
})

// Guards against a grant that is released twice, which would free the slot of another request, or never.
test('releases the grant once, at the end of the call, and what is unused at the end of the request', async () => {
  answers = [{ id: 'a', startedAt: 1 }, { id: 'b', startedAt: 1 }]
  const path = createPath()
  path.tryAdmit(REQUEST)
  await path.wait(REQUEST, signal)
  await path.choose({ excluded: new Set() }, signal)
  path.endCall(CallOutcome.REJECTED, undefined)
  await path.choose({ excluded: new Set(['a']) }, signal)
  expect(admission.inFlight).toBe(1)
  path.release(10)
  path.endCall(CallOutcome.COMPLETE, undefined)
  expect(released).toMatchObject([{ grant: 1, outcome: 'rejected' }, { grant: 2, outcome: 'unused' }])
  expect(admission.inFlight).toBe(0)
})

// Guards against requests that count twice or never again toward the limits of this router.
test('uses the share of this router without an answer, and counts nothing if the owner refuses', async () => {
  const unanswered = createPath()
  unanswered.tryAdmit(REQUEST)
  await unanswered.wait(REQUEST, signal)
  await unanswered.choose({ excluded: new Set() }, signal)
  expect(usedFallback).toEqual(['admit 120', 'choose'])
  refusal = new MimosarockError(ResultCode.OVERLOADED, 'full')
  const refused = createPath()
  refused.tryAdmit(REQUEST)
  await expect(refused.wait(REQUEST, signal)).rejects.toThrow('full')
  expect(admission.inFlight).toBe(0)
})

// Guards against a router that gets more requests from its owner than its processor can handle.
test('rejects a request beyond the concurrency limit of the process', () => {
  isProcessFull = true
  expect(() => createPath().tryAdmit(REQUEST)).toThrow('concurrency limit of its process')
})

// Guards against a queued request that waits for its time limit although a refusal has freed the capacity.
test('a refusal admits the next request that is queued at this router', async () => {
  admission = new ServiceAdmission({ service: 's', clock, limit: () => 1, random: () => 0.5 })
  refusal = new MimosarockError(ResultCode.OVERLOADED, 'full')
  const refused = createPath()
  refused.tryAdmit(REQUEST)
  const waiting = refused.wait(REQUEST, signal)
  const queued = admission.wait(REQUEST, signal)
  await expect(waiting).rejects.toThrow('full')
  await queued
  expect([admission.inFlight, admission.undispatched, admission.queued]).toEqual([1, 1, 0])
})
