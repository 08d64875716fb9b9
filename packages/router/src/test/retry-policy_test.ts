import { RetryBudget } from '@mimosarock/placement/retry-budget.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import { expect, test } from 'vitest'
import type { FailedAttempt } from '../retries/failed-attempt.js'
import { RetryPolicy } from '../retries/retry-policy.js'

const failedAttempt: FailedAttempt = {
  error: new MimosarockError(ResultCode.ENDPOINT_FAILED, 'connection refused'),
  attempts: 1,
  repeatable: false,
  bodyAvailable: true,
  responseStarted: false,
  remainingMs: 10_000
}

function policyWith (savedRetries: number): RetryPolicy {
  return new RetryPolicy({
    budget: new RetryBudget(0.1, savedRetries),
    maximumAttempts: 3,
    baseDelayMs: 20,
    minimumRemainingMs: 100,
    random: () => 0.5
  })
}

const unknown = new MimosarockError(ResultCode.ENDPOINT_SILENT, 'silent', { run: RunState.UNKNOWN })
const cases: ReadonlyArray<{ name: string, failed: Partial<FailedAttempt>, saved?: number }> = [
  { name: 'not run, not repeatable', failed: {} },
  { name: 'unknown, not repeatable', failed: { error: unknown } },
  { name: 'unknown, repeatable', failed: { error: unknown, repeatable: true } },
  { name: 'ran, repeatable', failed: { error: new MimosarockError(ResultCode.ENDPOINT_FAILED, 'broke off', { run: RunState.RAN }), repeatable: true } },
  { name: 'answer started', failed: { responseStarted: true, repeatable: true } },
  { name: 'body spent', failed: { bodyAvailable: false } },
  { name: 'third try', failed: { attempts: 3 } },
  { name: 'second try', failed: { attempts: 2 } },
  { name: 'deadline near', failed: { remainingMs: 110 } },
  { name: 'budget spent', failed: {}, saved: 0 },
  { name: 'redirection, budget spent', failed: { error: new MimosarockError(ResultCode.CONTEXT_ELSEWHERE, 'elsewhere') }, saved: 0 },
  { name: 'the caller\'s fault', failed: { error: new MimosarockError(ResultCode.INVALID_REQUEST, 'no model') } }
]

test('decides whether to retry by run state, repeatability, attempts, response and body state, retry budget and deadline', () => {
  const table = cases.map(({ name, failed, saved }) => {
    const decision = policyWith(saved ?? 5).decide({ ...failedAttempt, ...failed })
    return `${name}: ${decision.retry ? `again after ${decision.delayMs} ms` : `refused ${decision.error.code}, ${decision.error.run}`}`
  })
  expect(table).toMatchInlineSnapshot(`
    [
      "not run, not repeatable: again after 15 ms",
      "unknown, not repeatable: refused 3010, unknown",
      "unknown, repeatable: again after 15 ms",
      "ran, repeatable: refused 3009, ran",
      "answer started: refused 3009, not-run",
      "body spent: refused 3009, not-run",
      "third try: refused 3009, not-run",
      "second try: again after 30 ms",
      "deadline near: refused 3009, not-run",
      "budget spent: refused 3008, not-run",
      "redirection, budget spent: again after 0 ms",
      "the caller's fault: refused 2010, not-run",
    ]
  `)
})
