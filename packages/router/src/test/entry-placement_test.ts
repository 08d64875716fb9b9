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

/** Places one call at endpoints that reply from a list, and tells which were asked. */
async function place (replies: Reply[], plan: Partial<CallPlan> = {}, budget = 10): Promise<string> {
  const asked: string[] = []
  const displaced: string[] = []
  const clock = new SystemClock()
  const placement = new EntryPlacement({
    dispatch: {
      dispatch: async (call: DispatchCall) => {
        asked.push(call.waitMs > 0 ? `${call.endpoint}+wait` : call.endpoint)
        const reply = replies[asked.length - 1] ?? 'answers'
        if (reply === 'answers') return { status: 200, headers: {}, body: (async function * () {})(), endpoint: call.endpoint }
        throw new MimosarockError(reply[0], 'refused', { run: reply[1], ...(reply[2] !== undefined && { field: reply[2] }) })
      },
      cancel: async () => {}
    },
    displacement: { displaced: (_pool, _key, first, endpoint) => displaced.push(`${first}>${endpoint}`) },
    retryPolicy: new RetryPolicy({ budget: new RetryBudget(0.1, budget), maximumTries: 4, baseDelayMs: 1, minimumRemainingMs: 1, random: () => 0 }),
    clock
  })
  const whole: CallPlan = {
    pool: create(PoolSchema, { name: 'chat', queueWaitMs: 100 }),
    order: ['a', 'b', 'c'].map((name) => create(EndpointSchema, { name })),
    deadlineAt: clock.now() + 10_000,
    repeatable: true,
    call: { requestId: 'r', pool: 'chat', workspace: 'alpha', route: 'chat', affinityKey: '0123456789abcdef', method: 'POST', path: '/', headers: {}, body: undefined, load: 1, promptTokens: 1 },
    ...plan
  }
  try {
    await placement.place(whole, new AbortController().signal)
    return [asked.join(' '), ...displaced].join(', ')
  } catch (error) {
    const refusal = error as MimosarockError
    return `${asked.join(' ')}, ${refusal.code} ${refusal.run}`
  }
}

const over: Reply = [ResultCode.ENDPOINT_OVER_BOUND, 'not-run']
const failedUnknown: Reply = [ResultCode.ENDPOINT_FAILED, 'unknown']
const notConnected: Reply = [ResultCode.ENDPOINT_FAILED, 'not-run']

test.each<[string, Reply[], Partial<CallPlan>, string]>([
  ['the first endpoint takes it', ['answers'], {}, 'a'],
  ['one over its bound sends it on, and the displacement is told', [over, 'answers'], {}, 'a b, a>b'],
  ['all over their bounds: the first is asked again with a wait', [over, over, over, 'answers'], {}, 'a b c a+wait'],
  ['a redirect is followed, which the sender knows of', [[ResultCode.CONTEXT_ELSEWHERE, 'not-run', 'c'], 'answers'], {}, 'a c'],
  ['a redirect to one over its bound returns to the order', [[ResultCode.CONTEXT_ELSEWHERE, 'not-run', 'c'], over, 'answers'], {}, 'a c a'],
  ['a call that did not connect goes on, repeatable or not', [notConnected, 'answers'], { repeatable: false }, 'a b, a>b'],
  ['a call that may have run is not sent again unless it is repeatable', [failedUnknown], { repeatable: false }, 'a, 3009 unknown'],
  ['a repeatable one is', [failedUnknown, 'answers'], {}, 'a b, a>b'],
  ['a later refusal does not hide that an earlier try may have run', [failedUnknown, [ResultCode.DEADLINE_CANNOT_BE_MET, 'not-run']], {}, 'a b, 3006 unknown'],
  ['nor does the wait in a queue', [failedUnknown, over, over, [ResultCode.QUEUE_FULL, 'not-run']], {}, 'a b c b+wait, 3005 unknown'],
  ['a pool that took nothing says that nothing ran', [[ResultCode.ENDPOINT_LEAVING, 'not-run'], [ResultCode.CIRCUIT_OPEN, 'not-run'], [ResultCode.ENDPOINT_LEAVING, 'not-run']], {}, 'a b c, 3002 not-run'],
  ['a caller\'s own mistake is not sent on', [[ResultCode.DEADLINE_CANNOT_BE_MET, 'not-run']], {}, 'a, 3006 not-run'],
  ['a pool without endpoints', [], { order: [] }, ', 3001 not-run']
])('%s', async (_, replies, plan, expected) => {
  expect(await place(replies, plan)).toBe(expected)
})

test('retries end with the budget', async () => {
  expect(await place([failedUnknown, failedUnknown, 'answers'], {}, 1)).toBe('a b, 3008 unknown')
})
