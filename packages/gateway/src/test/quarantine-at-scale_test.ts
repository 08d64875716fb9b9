import { expect, test, vi } from 'vitest'
import type { RequestContent } from '@mimosarock/gateway/model/request-content.js'
import type { RequestQuarantine } from '@mimosarock/gateway/quarantine/request-quarantine.js'
import { SlowFleet } from './slow-fleet.js'
import { useSimulatedTime } from './use-simulated-time.js'

const ZONES = 5
const ROUTERS_PER_ZONE = 39
/** Stated bound: this long after the fifth crash at most three requests with the part reach endpoints. */
const BOUND_MS = 5_000
const CRASHES = 5
const CRASH_INTERVAL_MS = 300
/** Stated bound for a request that comes again: so long after the third crash at most three more of it reach endpoints. */
const REPEAT_BOUND_MS = 3_000
const CULPRIT_CRASHES = 3
/** Routers that lose calls in one crash. */
const WITNESSES = 30
const simulated = useSimulatedTime()
let contents = 0

/** Returns the content of a request with a prompt that no other request equals. */
function toContent (...ids: string[]): RequestContent {
  contents += 1
  return { prompt: ids.map((id) => ({ id, tokens: 1 })), fingerprint: `f${contents}` }
}

/** Lets a router notice that an endpoint has crashed on requests. */
function recordCrash (quarantine: RequestQuarantine, number: number, lost: readonly RequestContent[]): void {
  const endpoint = { id: `e${number}`, service: 's', address: 'a:1', availabilityZone: 'z', slots: 1, isDraining: false, startedAt: 1, revision: 0 }
  const lostAt = Date.now()
  quarantine.recordCrash(endpoint, lost.map((content) => ({ content, lostAt, hasBegun: false })))
}

// Guards against issue 26 in a large fleet, where no router sees more than one of the crashes.
test('on slow links, 195 routers refuse a prompt part that crashes endpoints within the stated bound, and no part of the sound requests', async () => {
  const fleet = new SlowFleet(ZONES, ROUTERS_PER_ZONE, simulated.signal)
  await vi.advanceTimersByTimeAsync(3_000)
  const quarantines = fleet.names.map((name) => fleet.stateOf(name).quarantine)
  for (let number = 0; number < CRASHES; number += 1) {
    for (let witness = 0; witness < WITNESSES; witness += 1) {
      const name = fleet.names[(number * 37 + witness * 6) % fleet.names.length] as string
      const lost = witness === 0 ? [toContent('a', 'b', 'd', 'x')] : [toContent('a', `s${witness}`, 'x'), toContent('a', `t${number}-${witness}`, 'x')]
      recordCrash(fleet.stateOf(name).quarantine, number, lost)
      fleet.syncSoon(name)
    }
    await vi.advanceTimersByTimeAsync(CRASH_INTERVAL_MS)
    for (let witness = 0; witness < WITNESSES; witness += 1) quarantines[witness]?.recordBegin(toContent('a', `s${witness}`, 'x'))
  }
  await vi.advanceTimersByTimeAsync(BOUND_MS - CRASH_INTERVAL_MS)
  expect(quarantines.filter((quarantine) => quarantine.findBlock(toContent('a', 'b', 'd', 'y')) === undefined)).toEqual([])
  expect(quarantines.filter((quarantine) => quarantine.findBlock(toContent('a', 'b', 'y')) !== undefined)).toEqual([])
  expect(quarantines.filter((quarantine) => quarantine.findBlock(toContent('a', 's1', 'y')) !== undefined)).toEqual([])
}, 60_000)

// Guards against issue 32 in a large fleet: the request comes again at a router that has seen none of its crashes, with sound ones at the same endpoints.
test('on slow links, 195 routers refuse a request that crashed three endpoints within the stated bound, and no sound request lost with it', async () => {
  const fleet = new SlowFleet(ZONES, ROUTERS_PER_ZONE, simulated.signal)
  await vi.advanceTimersByTimeAsync(3_000)
  const quarantines = fleet.names.map((name) => fleet.stateOf(name).quarantine)
  const deadly = { prompt: [], fingerprint: 'deadly' }
  const sound: RequestContent[] = []
  for (let number = 0; number < CULPRIT_CRASHES; number += 1) {
    for (let witness = 0; witness < WITNESSES; witness += 1) {
      const name = fleet.names[(number * 37 + witness * 6) % fleet.names.length] as string
      const lost = [toContent('a', `s${witness}`, 'x'), toContent()]
      sound.push(...lost)
      recordCrash(fleet.stateOf(name).quarantine, number, witness === 0 ? [deadly] : lost)
      fleet.syncSoon(name)
    }
    await vi.advanceTimersByTimeAsync(CRASH_INTERVAL_MS)
  }
  await vi.advanceTimersByTimeAsync(REPEAT_BOUND_MS - CRASH_INTERVAL_MS)
  expect(quarantines.filter((quarantine) => quarantine.findBlock(deadly) === undefined)).toEqual([])
  expect(sound.filter((content) => quarantines.some((quarantine) => quarantine.findBlock(content) !== undefined))).toEqual([])
}, 60_000)
