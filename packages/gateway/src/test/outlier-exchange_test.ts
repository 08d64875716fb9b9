import { beforeEach, expect, test } from 'vitest'
import { OutlierExchange } from '@mimosarock/gateway/membership/outlier-exchange.js'
import { SyncServer } from '@mimosarock/gateway/membership/sync-server.js'
import type { SyncAnswer } from '@mimosarock/gateway/membership/sync-answer.js'
import type { FleetState } from '@mimosarock/gateway/membership/fleet-state.js'
import type { SyncRequest } from '@mimosarock/gateway/membership/sync-request.js'
import { createFleetState } from './create-fleet-state.js'

const clock = { now: () => 1_000 }
const note = { id: 'e0', startedAt: 1, leftMs: 500, times: 1 }
const entry = { id: 'e0', service: 's', address: 'e0:1', availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 1, revision: 0 }
let source: FleetState
let follower: FleetState
let server: SyncServer
let exchange: OutlierExchange

/** Answers a request with only the given fields beside those that every version sends. */
function answer (fields: Partial<SyncRequest> = {}): SyncAnswer {
  return server.answer({
    router: follower.routers.self, routers: undefined, routerCount: 2, configurationVersion: 0, endpointsRevision: undefined, load: {}, notes: [], notesCursor: undefined, ...fields
  })
}

beforeEach(() => {
  source = createFleetState('source', clock)
  follower = createFleetState('follower', clock)
  for (const state of [source, follower]) {
    state.endpoints.replace([entry], undefined)
    state.outliers.followWhile(() => true)
  }
  source.outliers.learn([note], 'first')
  server = new SyncServer(source, 'i', clock.now, () => 0)
  exchange = new OutlierExchange(follower.outliers)
})

test('a follower receives the ejections once, and again if its own have changed', () => {
  exchange.applyFollowed('source', answer(exchange.requestFields('source', [])))
  expect(follower.outliers.notes()).toEqual([note])
  const next = exchange.requestFields('source', [])
  expect([next.ejectionsRevision !== undefined, answer(next).ejections]).toEqual([true, undefined])
  follower.outliers.learn([], 'other')
  expect(answer(exchange.requestFields('source', [])).ejections).toEqual([note])
})

// Guards against routers of an earlier version, which send none of the fields: their followers would leave endpoints out for good.
test('with a router of an earlier version no endpoint stays ejected, and its requests are answered', () => {
  exchange.applyFollowed('source', answer())
  expect(follower.outliers.ejectedCount).toBe(1)
  const { ejections, ejectionsRevision, ...earlier } = answer()
  exchange.applyFollowed('source', earlier)
  expect(follower.outliers.ejectedCount).toBe(0)
  expect([ejections, typeof ejectionsRevision]).toEqual([[note], 'string'])
})
