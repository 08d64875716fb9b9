import { expect, test } from 'vitest'
import { RouteTimes } from '@mimosarock/gateway/admission/route-times.js'
import { recordWarmth } from '@mimosarock/gateway/caller/record-warmth.js'
import { CallOutcome } from '@mimosarock/gateway/sending/call-outcome.js'
import type { WarmUpTable } from '@mimosarock/gateway/warm-up/warm-up-table.js'

const ENDPOINT = { id: 'e', service: 's', address: 'e:1', availabilityZone: 'z', slots: 4, isDraining: false, startedAt: 1, revision: 5 }

// Guards against endpoints that are presumed to have restarted because of a time limit or a rejection.
test.each([
  [CallOutcome.COMPLETE, false, undefined, 'succeeded'],
  [CallOutcome.NO_ANSWER, true, 'UND_ERR_SOCKET', 'connectionLost'],
  [CallOutcome.BROKEN, true, 'RESET_BY_SERVER', 'connectionLost'],
  [CallOutcome.NOT_SENT, false, 'ECONNREFUSED', 'connectionLost'],
  [CallOutcome.NOT_SENT, false, 'UND_ERR_CONNECT_TIMEOUT', undefined],
  [CallOutcome.NO_ANSWER, false, 'no progress', undefined],
  [CallOutcome.REJECTED, false, undefined, undefined],
  [CallOutcome.ABORTED, false, 'the deadline passed', undefined]
])('a call that ends with %s (connection lost: %s, %s) is recorded as %s', (outcome, isConnectionLost, problem, expected) => {
  const recorded: string[] = []
  const warmUps = { succeeded: () => recorded.push('succeeded'), connectionLost: () => recorded.push('connectionLost') } as unknown as WarmUpTable
  recordWarmth(warmUps, ENDPOINT, { outcome, head: undefined, isConnectionLost, problem })
  expect(recorded).toEqual(expected === undefined ? [] : [expected])
})

test('a route takes long if its mean time is more than twice the mean of the service', () => {
  const times = new RouteTimes()
  for (let count = 0; count < 200; count += 1) times.record('s', count % 10 === 0 ? 'long' : 'usual', count % 10 === 0 ? 2_000 : 100)
  expect(['long', 'usual', 'unknown'].map((route) => times.isLong('s', route))).toEqual([true, false, false])
})
