import { expect, test } from 'vitest'
import { ServiceAdmissions } from '@mimosarock/gateway/admission/service-admissions.js'
import type { ServiceAdmission } from '@mimosarock/gateway/admission/service-admission.js'
import { HomeRegions } from '@mimosarock/gateway/homes/home-regions.js'
import type { Homes } from '@mimosarock/gateway/homes/homes.js'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'

const homeRegions = new HomeRegions({ regions: { z0: 'north', z1: 'south' }, availabilityZone: 'z0', region: undefined })
const NORTH = homeRegions.homesOf(['north']) as Homes
const EVERYWHERE = homeRegions.homesOf(['north', 'south']) as Homes
const REQUEST = { workspace: 'w', rank: 0, routeRank: 0, objectiveMs: 10_000, timeLeftMs: 40_000 }

/** Creates admission control of a service that may have 10 requests in flight, 4 of them in the region north. */
function createAdmissions () {
  const load = { north: 0, everywhere: 0 }
  const admissions = new ServiceAdmissions({
    clock: new SteppedClock(),
    limitOf: (_service, homes) => homes === NORTH ? 4 : 10,
    loadAt: (_service, homes) => homes === NORTH ? load.north : load.everywhere,
    processLimit: () => Infinity,
    rateLimitOf: () => ({ intervalMs: () => undefined, requestQueued: () => undefined }),
    fairnessOf: () => ({ countArrival: () => undefined, countAdmission: () => undefined, recordRefusal: () => undefined, mayQueue: () => true }),
    random: () => 0.5
  })
  return { admissions, load }
}

/** Admits as many requests as there is room for. */
function fill (admission: ServiceAdmission): number {
  let count = 0
  while (admission.tryAdmit(REQUEST)) count += 1
  return count
}

test('requests with homes count toward the service, and toward every combination of regions that contains theirs', () => {
  const { admissions, load } = createAdmissions()
  expect(fill(admissions.get('s', NORTH))).toBe(4)
  // Not sent yet: what is in flight at the endpoints does not show them.
  expect([fill(admissions.get('s', EVERYWHERE)), fill(admissions.get('s'))]).toEqual([6, 0])
  load.north = 4
  expect([fill(admissions.get('s', NORTH)), fill(admissions.get('other'))]).toEqual([0, 10])
})

test('requests at the home endpoints that may run elsewhere leave no room for those that may not, also when several are admitted at once', () => {
  const { admissions, load } = createAdmissions()
  load.north = 3
  expect([fill(admissions.get('s', NORTH)), fill(admissions.get('s'))]).toEqual([1, 9])
  load.north = 4
  admissions.get('s', NORTH).recordDispatch()
  expect(fill(admissions.get('s', NORTH))).toBe(0)
})

test('when all are queued, the queues take turns: neither starves the other, whichever releases capacity', async () => {
  const { admissions, load } = createAdmissions()
  const [home, any] = [admissions.get('s', NORTH), admissions.get('s')]
  fill(any)
  load.north = 4
  const admitted: string[] = []
  for (const [name, admission] of [['home', home], ['any', any]] as const) {
    for (let count = 0; count < 20; count += 1) {
      expect(admission.tryAdmit(REQUEST)).toBe(false)
      admission.wait(REQUEST, new AbortController().signal).then(() => admitted.push(name), () => undefined)
    }
  }
  for (let count = 0; count < 12; count += 1) {
    // One request that may run everywhere has left the home endpoints.
    load.north = 3
    any.release(100)
    await new Promise((resolve) => setImmediate(resolve))
  }
  expect(admitted.filter((name) => name === 'home')).toEqual(['home'])
  expect(admitted.filter((name) => name === 'any')).toHaveLength(11)
  expect(admissions.queued('s')).toBe(28)
})
