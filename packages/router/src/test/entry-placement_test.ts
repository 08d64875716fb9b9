import { create } from '@bufbuild/protobuf'
import { SystemClock } from '@mimosarock/coordination/system-clock.js'
import { RetryBudget } from '@mimosarock/placement/retry-budget.js'
import { EndpointSchema, PoolSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { RunState } from '@mimosarock/schema/run-state.js'
import { expect, test } from 'vitest'
import type { CallPlan } from '../entry/call-plan.js'
import { EntryPlacement } from '../entry/entry-placement.js'
import type { DispatchCall } from '../forward/dispatch-call.js'
import { RetryPolicy } from '../retries/retry-policy.js'

type Reply = 'answers' | [code: ResultCode, run: RunState, field?: string]

/** Places one call at endpoints that reply from a list; returns the called endpoints in order and the outcome. */
async function place (replies: Reply[], plan: Partial<CallPlan> = {}, budget = 10): Promise<string> {
  const called: string[] = []
  const displaced: string[] = []
  const clock = new SystemClock()
  const placement = new EntryPlacement({
    dispatch: {
      dispatch: async (call: DispatchCall) => {
        called.push(call.waitMs > 0 ? `${call.endpoint}+wait` : call.endpoint)
        const reply = replies[called.length - 1] ?? 'answers'
        if (reply === 'answers') return { status: 200, headers: {}, body: (async function * () {})(), endpoint: call.endpoint }
        throw new MimosarockError(reply[0], 'refused', { run: reply[1], ...(reply[2] !== undefined && { field: reply[2] }) })
      },
      cancel: async () => {}
    },
    displacement: { recordDisplacement: (_pool, _key, first, endpoint) => displaced.push(`${first}>${endpoint}`) },
    retryPolicy: new RetryPolicy({ budget: new RetryBudget(0.1, budget), maximumAttempts: 4, baseDelayMs: 1, minimumRemainingMs: 1, random: () => 0 }),
    clock
  })
  const completePlan: CallPlan = {
    pool: create(PoolSchema, { name: 'chat', queueWaitMs: 100 }),
    order: ['a', 'b', 'c'].map((name) => create(EndpointSchema, { name })),
    deadlineAt: clock.now() + 10_000,
    repeatable: true,
    call: { requestId: 'r', pool: 'chat', workspace: 'alpha', route: 'chat', affinityKey: '0123456789abcdef', method: 'POST', path: '/', headers: {}, body: undefined, load: 1, promptTokens: 1 },
    ...plan
  }
  try {
    await placement.place(completePlan, new AbortController().signal)
    return [called.join(' '), ...displaced].join(', ')
  } catch (error) {
    const refusal = error as MimosarockError
    return `${called.join(' ')}, ${refusal.code} ${refusal.run}`
  }
}

const overBound: Reply = [ResultCode.ENDPOINT_OVER_BOUND, 'not-run']
const failedUnknown: Reply = [ResultCode.ENDPOINT_FAILED, 'unknown']
const notConnected: Reply = [ResultCode.ENDPOINT_FAILED, 'not-run']

test.each<[string, Reply[], Partial<CallPlan>, string]>([
  ['the first endpoint accepts the call', ['answers'], {}, 'a'],
  ['an endpoint over its bound makes the call overflow to the next one, and the displacement is reported', [overBound, 'answers'], {}, 'a b, a>b'],
  ['if all endpoints are over their bounds, the first one is tried again with a wait', [overBound, overBound, overBound, 'answers'], {}, 'a b c a+wait'],
  ['a redirect is followed, and no displacement is reported to the owner that sent it', [[ResultCode.CONTEXT_ELSEWHERE, 'not-run', 'c'], 'answers'], {}, 'a c'],
  ['after a redirect to an endpoint over its bound the redirecting endpoint is tried again', [[ResultCode.CONTEXT_ELSEWHERE, 'not-run', 'c'], overBound, 'answers'], {}, 'a c a'],
  ['a call whose connection failed is tried at the next endpoint even if it is not repeatable', [notConnected, 'answers'], { repeatable: false }, 'a b, a>b'],
  ['a call that may have run is not retried if it is not repeatable', [failedUnknown], { repeatable: false }, 'a, 3009 unknown'],
  ['a repeatable call that may have run is retried', [failedUnknown, 'answers'], {}, 'a b, a>b'],
  ['a later refusal does not hide that an earlier attempt may have run', [failedUnknown, [ResultCode.DEADLINE_CANNOT_BE_MET, 'not-run']], {}, 'a b, 3006 unknown'],
  ['a refusal after the wait in a queue does not hide that an earlier attempt may have run', [failedUnknown, overBound, overBound, [ResultCode.QUEUE_FULL, 'not-run']], {}, 'a b c b+wait, 3005 unknown'],
  ['the call is reported as not run if all endpoints refused it without running it', [[ResultCode.ENDPOINT_LEAVING, 'not-run'], [ResultCode.CIRCUIT_OPEN, 'not-run'], [ResultCode.ENDPOINT_LEAVING, 'not-run']], {}, 'a b c, 3002 not-run'],
  ['a deadline that cannot be met is not retried at another endpoint', [[ResultCode.DEADLINE_CANNOT_BE_MET, 'not-run']], {}, 'a, 3006 not-run'],
  ['a pool without endpoints refuses the call', [], { order: [] }, ', 3001 not-run']
])('%s', async (_, replies, plan, expected) => {
  expect(await place(replies, plan)).toBe(expected)
})

test('retries stop when the retry budget is exhausted', async () => {
  expect(await place([failedUnknown, failedUnknown, 'answers'], {}, 1)).toBe('a b, 3008 unknown')
})
