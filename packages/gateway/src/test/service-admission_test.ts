import fc from 'fast-check'
import { expect, test } from 'vitest'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ServiceAdmission } from '@mimosarock/gateway/admission/service-admission.js'
import type { ServiceRequest } from '@mimosarock/gateway/admission/service-request.js'
import { drawsOf } from './draws.js'
import { SteppedClock } from '../../../router/src/test/stepped-clock.js'

const SERVICE_MS = 100
const STEP_MS = 10

/** A stream of requests of one kind from one workspace. */
interface Demand {
  readonly name: string
  readonly perSecond: number
  readonly request: Partial<ServiceRequest>
}

/** What became of a demand. */
interface Tally {
  asked: number
  served: number
  refused: number
  longestWaitMs: number
  returnsMs: number[]
}

const createRequest = (changes: Partial<ServiceRequest> = {}): ServiceRequest => {
  return { workspace: 'w', rank: 0, routeRank: 0, objectiveMs: 300, timeLeftMs: 5_000, ...changes }
}

/** A service that runs so many requests at once, each for a tenth of a second. */
class Load {
  readonly clock = new SteppedClock()
  readonly admission: ServiceAdmission
  private readonly _random: () => number

  constructor (slots: number, random: () => number = () => 0.5) {
    this._random = random
    this.admission = new ServiceAdmission({ service: 's', clock: this.clock, limit: () => slots, random: () => 0.5 })
  }

  /** Plays demands and returns what became of each. */
  async play (demands: readonly Demand[], seconds: number): Promise<Record<string, Tally>> {
    const tallies: Record<string, Tally> = {}
    for (const { name } of demands) tallies[name] = { asked: 0, served: 0, refused: 0, longestWaitMs: 0, returnsMs: [] }
    for (let step = 0; step < seconds * 1_000 / STEP_MS; step += 1) {
      for (const demand of demands) {
        const mean = demand.perSecond * STEP_MS / 1_000
        const count = Math.floor(mean) + (this._random() < mean % 1 ? 1 : 0)
        for (let each = 0; each < count; each += 1) this._ask(demand, tallies[demand.name] as Tally)
      }
      await this.clock.advance(STEP_MS)
    }
    // Lets what is left end.
    for (let step = 0; step < 100; step += 1) await this.clock.advance(STEP_MS)
    return tallies
  }

  private _ask (demand: Demand, tally: Tally): void {
    const request = createRequest(demand.request)
    const askedAt = this.clock.now()
    tally.asked += 1
    const serve = (): void => {
      tally.served += 1
      tally.longestWaitMs = Math.max(tally.longestWaitMs, this.clock.now() - askedAt)
      this.clock.sleep(SERVICE_MS).then(() => this.admission.release(SERVICE_MS), () => undefined)
    }
    if (this.admission.tryAdmit(request)) return serve()
    this.admission.wait(request, new AbortController().signal).then(serve, (error: MimosarockError) => {
      tally.refused += 1
      tally.returnsMs.push(error.retryAfterMs ?? 0)
    })
  }
}

const shareOf = (tally: Tally | undefined): number => (tally?.served ?? 0) / (tally?.asked ?? 1)

test('below its capacity: nobody is refused', async () => {
  const { all } = await new Load(10, drawsOf(1)).play([{ name: 'all', perSecond: 70, request: {} }], 5)
  expect([all?.refused, all?.served === all?.asked]).toEqual([0, true])
})

test('surge of one workspace: the others are served as before, and it gets the rest', async () => {
  const others = ['a', 'b', 'c', 'd', 'e'].map((name) => ({ name, perSecond: 8, request: { workspace: name } }))
  const tallies = await new Load(10, drawsOf(2)).play([...others, { name: 'surge', perSecond: 400, request: { workspace: 'surge' } }], 10)
  for (const { name } of others) expect(shareOf(tallies[name])).toBeGreaterThan(0.9)
  // Ten slots serve a hundred requests a second, of which the others take forty.
  expect(tallies.surge?.served).toBeGreaterThan(500)
})

test('burst of all kinds: urgent requests are served more often, and no rank is left out', async () => {
  const demands = [0, 1, 2, 3].map((rank) => ({ name: `rank${rank}`, perSecond: 60, request: { rank } }))
  const tallies = await new Load(10, drawsOf(3)).play(demands, 10)
  const shares = demands.map(({ name }) => shareOf(tallies[name]))
  expect([...shares].sort((one, other) => other - one)).toEqual(shares)
  expect(Math.min(...shares)).toBeGreaterThan(Math.max(...shares) / 4)
})

test('burst of urgent requests alone: a few that are less urgent are still served', async () => {
  const tallies = await new Load(10, drawsOf(4)).play([
    { name: 'urgent', perSecond: 400, request: { rank: 0 } },
    { name: 'other', perSecond: 20, request: { rank: 2 } }
  ], 10)
  expect(shareOf(tallies.other)).toBeGreaterThan(shareOf(tallies.urgent) / 4)
  expect(shareOf(tallies.urgent)).toBeGreaterThanOrEqual(shareOf(tallies.other))
})

test('requests of one workspace rank: the route\'s rank decides', async () => {
  const demands = [0, 1, 2].map((routeRank) => ({ name: `route${routeRank}`, perSecond: 80, request: { rank: 1, routeRank } }))
  const tallies = await new Load(10, drawsOf(5)).play(demands, 10)
  const shares = demands.map(({ name }) => shareOf(tallies[name]))
  expect([...shares].sort((one, other) => other - one)).toEqual(shares)
})

test('standing overload: nobody waits for more than half of its objective, and most are refused at once', async () => {
  const { all } = await new Load(10, drawsOf(6)).play([{ name: 'all', perSecond: 500, request: { objectiveMs: 300 } }], 10)
  expect(all?.longestWaitMs).toBeLessThanOrEqual(150 + STEP_MS)
  expect(all?.served).toBeGreaterThan(900)
})

test('refused callers come back later the more there are, and not at the same moment', async () => {
  const light = await new Load(10, drawsOf(7)).play([{ name: 'all', perSecond: 130, request: {} }], 10)
  const heavy = await new Load(10, drawsOf(7)).play([{ name: 'all', perSecond: 500, request: {} }], 10)
  const mean = (tally: Tally | undefined): number => {
    const returns = tally?.returnsMs ?? []
    return returns.reduce((sum, ms) => sum + ms, 0) / returns.length
  }
  expect(mean(light.all)).toBeGreaterThanOrEqual(250)
  expect(mean(heavy.all)).toBeGreaterThan(2 * mean(light.all))
})

test('a caller that leaves while it waits gives its turn to the next one', async () => {
  const { clock, admission } = new Load(1)
  expect(admission.tryAdmit(createRequest())).toBe(true)
  const leaving = new AbortController()
  const outcomes: string[] = []
  for (const [name, signal] of [['first', leaving.signal], ['second', new AbortController().signal]] as const) {
    expect(admission.tryAdmit(createRequest())).toBe(false)
    admission.wait(createRequest(), signal).then(() => outcomes.push(`${name} served`), (error: MimosarockError) => outcomes.push(`${name} ${error.code}`))
  }
  leaving.abort()
  admission.release(100)
  await clock.advance(1)
  expect([outcomes.sort(), admission.waiting, admission.inFlight]).toEqual([['first 2014', 'second served'], 0, 1])
})

test('nothing is lost: each request is served or refused, and all places come back', async () => {
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 20 }), fc.integer({ min: 10, max: 600 }), fc.integer({ min: 1, max: 1_000_000 }), async (slots, perSecond, seed) => {
    const load = new Load(slots, drawsOf(seed))
    const { all } = await load.play([{ name: 'all', perSecond, request: {} }], 2)
    expect(all?.asked).toBe((all?.served ?? 0) + (all?.refused ?? 0))
    expect([load.admission.waiting, load.admission.inFlight]).toEqual([0, 0])
  }), { seed: 8, numRuns: 15 })
})
