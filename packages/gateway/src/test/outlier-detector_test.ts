import { beforeEach, expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { EndpointTable } from '@mimosarock/gateway/membership/endpoint-table.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import type { AnswerReport } from '@mimosarock/gateway/outliers/answer-report.js'
import { FleetOutliers } from '@mimosarock/gateway/outliers/fleet-outliers.js'

let now = 0
const clock = { now: () => now }
const log = new SilentEventLog()
let table: EndpointTable
let outliers: FleetOutliers

function register (count: number, startedAt = 1): void {
  const entries = Array.from({ length: count }, (_, index): EndpointEntry => ({
    id: `e${index}`, service: 's', address: `${index}:1`, availabilityZone: 'z', slots: 4, isDraining: false, startedAt, revision: 0
  }))
  table.replace(entries, undefined)
}

/** Records the answers of some endpoints, 20 of each, a part of which are failures. */
function record (count: number, failures: number): void {
  for (let index = 0; index < count; index += 1) {
    for (let number = 0; number < 20; number += 1) outliers.record(table.find(`e${index}`) as EndpointEntry, index === 0 && number < failures)
  }
}

const isEjected = (id = 'e0'): boolean => {
  now += 250
  return outliers.isEjected(id)
}

beforeEach(() => {
  now = 100_000
  table = new EndpointTable(clock, log)
  outliers = new FleetOutliers({ endpoints: table, clock, log, random: () => 0 })
  register(5)
})

test('an endpoint that fails is ejected for 2 s, then gets trials and returns; a repeat takes twice as long', () => {
  record(5, 10)
  expect([isEjected(), outliers.pickTrial(table.ready('s'))?.id, outliers.notes()[0]?.leftMs]).toEqual([true, undefined, 2_000])
  now += 2_000
  expect(outliers.pickTrial(table.ready('s'))?.id).toBe('e0')
  now += 2_500
  expect(isEjected()).toBe(false)
  record(5, 10)
  expect([isEjected(), outliers.notes()[0]?.leftMs]).toEqual([true, 4_000])
})

// Guards against a trial that is decided by requests from before the ejection, which fail late.
test('an endpoint that fails trials is ejected again, one whose earlier requests fail is not', () => {
  record(5, 10)
  isEjected()
  now += 1_500
  record(1, 20)
  now += 600
  expect([isEjected(), outliers.notes()[0]?.times]).toEqual([true, 1])
  record(1, 20)
  expect([isEjected(), outliers.notes()[0]?.times, outliers.notes()[0]?.leftMs]).toEqual([true, 2, 4_000])
})

// Guards against a new incarnation that is left out for what the one before did.
test('an endpoint that restarts is no longer ejected', () => {
  record(5, 10)
  expect(isEjected()).toBe(true)
  register(5, 2)
  expect(isEjected()).toBe(false)
})

// Guards against the ejection of the only endpoints of a service, and of one of two, where the other may be the exception.
test.each([1, 2])('of %s endpoints none is ejected', (count) => {
  register(count)
  record(count, 20)
  expect(isEjected()).toBe(false)
})

// Guards against reports that grow with the fleet.
test('reports of a large service list a bounded number of endpoints and have totals of all', () => {
  register(5_000)
  for (const entry of table.ready('s')) outliers.record(entry, true)
  const report = outliers.reportWith([]) as AnswerReport
  expect([report.services.s, report.endpoints.length]).toEqual([[5_000, 5_000], 64])
  outliers.report('r1', report)
  expect(outliers.reportWith(['r1'])).toMatchObject({ services: { s: [10_000, 10_000] }, endpoints: { length: 64 } })
})

// Guards against endpoints that seem to fail all requests, since routers without failures do not list them.
test('the answers of routers that list no endpoint are divided among all', () => {
  record(1, 1)
  for (let number = 0; number < 10; number += 1) outliers.report(`r${number}`, { services: { s: [100, 0] }, endpoints: [] })
  const report = outliers.reportWith(Array.from({ length: 10 }, (_, number) => `r${number}`)) as AnswerReport
  expect(report.endpoints).toEqual([['e0', 1, 220, 1]])
})

test('a router that follows another one takes its ejections, until the setting ends them', () => {
  let isEnabled = true
  outliers.enableWhile(() => isEnabled)
  outliers.followWhile(() => true)
  record(5, 20)
  expect(isEjected()).toBe(false)
  outliers.learn([{ id: 'e1', startedAt: 1, leftMs: 2_000, times: 1 }, { id: 'gone', startedAt: 1, leftMs: 2_000, times: 1 }], 'r1')
  expect([isEjected('e1'), isEjected('gone')]).toEqual([true, false])
  isEnabled = false
  expect([isEjected('e1'), outliers.reportWith([])]).toEqual([false, undefined])
})
