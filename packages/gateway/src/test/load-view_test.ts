import fc from 'fast-check'
import { expect, test } from 'vitest'
import { LoadView } from '@mimosarock/gateway/choice/load-view.js'

function createView (fleetSize = Infinity): { clock: { ms: number }, view: LoadView } {
  const clock = { ms: 0 }
  return { clock, view: new LoadView(() => clock.ms, () => fleetSize) }
}

test('the router\'s own requests are counted exactly, and those of other routers by their last report', () => {
  const { view } = createView()
  view.begin('e')
  view.begin('e')
  view.end('e')
  view.report('a', { e: 5 })
  view.report('a', { e: 3 })
  view.report('b', { e: 1, f: 2 })
  expect([view.total('e'), view.total('f'), view.localLoads()]).toEqual([5, 2, { e: 1 }])
})

test('the report of a router that died expires', () => {
  const { clock, view } = createView()
  view.report('a', { e: 5 })
  clock.ms = 1_600
  view.report('b', { e: 1 })
  expect([view.total('e'), view.lastReportOf('a')]).toEqual([1, {}])
})

test('the load of one other router can be subtracted from the total', () => {
  const { view } = createView()
  view.begin('e')
  view.report('a', { e: 5 })
  view.report('b', { e: 2 })
  expect(view.total('e') - (view.lastReportOf('a').e ?? 0)).toBe(3)
})

test('after any sequence of reports and pauses the total is the sum of the unexpired reports', () => {
  const endpoint = fc.constantFrom('e', 'f', 'g')
  const step = fc.record({ router: fc.constantFrom('a', 'b', 'c', 'd'), load: fc.dictionary(endpoint, fc.nat(9)), passMs: fc.nat(900) })
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const { clock, view } = createView()
    const reports = new Map<string, { load: Record<string, number>, reportedAt: number }>()
    for (const { router, load, passMs } of steps) {
      clock.ms += passMs
      view.report(router, load)
      reports.set(router, { load, reportedAt: clock.ms })
      for (const id of ['e', 'f', 'g']) {
        const unexpired = [...reports.values()].filter(({ reportedAt }) => clock.ms - reportedAt < 1_500)
        expect(view.total(id)).toBe(unexpired.reduce((sum, report) => sum + (report.load[id] ?? 0), 0))
      }
    }
  }), { seed: 3 })
})

test('the sum of the followed router counts in proportion to the routers that are not known by a report', () => {
  const { view } = createView(5)
  view.reportFleet({ e: 8 }, 4)
  expect([view.total('e'), view.countedRouters]).toEqual([8, 4])
  view.report('a', { e: 1 })
  view.report('b', { e: 2 })
  expect([view.total('e'), view.countedRouters]).toEqual([1 + 2 + 4, 4])
  view.report('c', {})
  view.report('d', {})
  expect([view.total('e'), view.fleetFraction]).toEqual([3, 0])
})

test('a sum over an unknown number of routers, of a router of an earlier version, counts in full', () => {
  const { view } = createView(5)
  view.report('a', { e: 1 })
  view.reportFleet({ e: 8 }, undefined)
  expect(view.total('e')).toBe(9)
})

// Guards against loads that live on while routers pass them to and fro.
test('a report counts once, by its newest copy, for a time from when it was made', () => {
  const { clock, view } = createView()
  clock.ms = 5_000
  view.reportAll([{ router: 'a', ageMs: 300, load: { e: 5 } }, { router: 'a', ageMs: 600, load: { e: 3 } }, { router: 'b', ageMs: 1_500, load: { e: 9 } }])
  expect([view.total('e'), view.relayedReports()]).toEqual([5, [{ router: 'a', ageMs: 300, load: { e: 5 } }]])
  view.report('a', { e: 2 })
  expect(view.total('e')).toBe(2)
  clock.ms += 1_000
  view.reportAll([{ router: 'a', ageMs: 1_000, load: { e: 2 } }])
  clock.ms += 500
  expect([view.relayedReports(), view.total('e')]).toEqual([[], 0])
})
