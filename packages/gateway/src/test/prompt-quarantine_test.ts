import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import * as fc from 'fast-check'
import { beforeEach, expect, test } from 'vitest'
import type { PromptPart } from '@mimosarock/gateway/model/prompt-part.js'
import { PromptQuarantine } from '@mimosarock/gateway/quarantine/prompt-quarantine.js'

class ManualClock {
  ms = 10_000
  now (): number { return this.ms }
}

const QUARANTINE_MS = 60_000
const SECOND_MS = 1_000

let clock: ManualClock
let quarantine: PromptQuarantine
let crashes: number

beforeEach(() => {
  clock = new ManualClock()
  quarantine = createQuarantine(0)
  crashes = 0
})

function createQuarantine (rank: number): PromptQuarantine {
  return new PromptQuarantine({ clock, log: new SilentEventLog(), rank: () => rank })
}

function toPrompt (text: string): PromptPart[] {
  return text.split(',').map((id) => ({ id, tokens: 10 }))
}

/** Lets an endpoint crash while it had requests with these prompts, after a pause. */
function crash (prompts: readonly string[], pauseMs = SECOND_MS, target = quarantine): void {
  clock.ms += pauseMs
  crashes += 1
  const id = `e${crashes}`
  target.recordCrash({ id, service: 's', address: 'a:1', availabilityZone: 'z', slots: 1, isDraining: false, startedAt: crashes, revision: 0 }, prompts.map(toPrompt))
}

const isBlocked = (prompt: string, target = quarantine): boolean => target.findBlock(toPrompt(prompt)) !== undefined

test('the part that was in each crash is quarantined, whatever else the prompts hold', () => {
  for (const last of ['1', '2', '3']) crash([`a,b,d,${last}`, `a,c${last},x`])
  expect(['a,b,d,9', 'a,b,9', 'a,c1,9', 'd'].map((prompt) => isBlocked(prompt))).toEqual([true, false, false, false])
})

test('the last part of a prompt, which belongs to one request, is never quarantined', () => {
  for (let count = 0; count < 5; count += 1) crash(['session'])
  expect(quarantine.size).toBe(0)
})

test('parts that accompany the culprit stay usable, though they were in each crash too', () => {
  for (const last of ['1', '2', '3']) {
    quarantine.recordAnswer(toPrompt('a,b,x'))
    crash([`d,a,b,${last}`])
  }
  expect(['a,b,9', 'd,z,9'].map((prompt) => isBlocked(prompt))).toEqual([false, true])
})

test('of parts that were in each crash, one that was never answered is suspected before those that any router has seen answered', () => {
  const other = createQuarantine(1)
  other.recordAnswer(toPrompt('a,y,x'))
  for (const last of ['1', '2', '3']) {
    crash([`a,d,y,${last}`])
    other.apply(quarantine.notesSince(0, 100).notes, true)
    quarantine.apply(other.notesSince(0, 100).notes, false)
  }
  expect(['a,y,9', 'a,d,9'].map((prompt) => isBlocked(prompt))).toEqual([false, true])
})

test('an answer between the crashes clears a part', () => {
  crash(['a,b,1'])
  crash(['a,b,2'])
  clock.ms += 1
  quarantine.recordAnswer(toPrompt('a,b,3'))
  crash(['a,b,4'])
  expect(quarantine.size).toBe(0)
})

test('endpoints that are lost at one moment have one cause, which need not be a request', () => {
  for (let count = 0; count < 10; count += 1) crash(['a,b,1'], 5)
  expect(quarantine.size).toBe(0)
})

test('several calls that one crash has ended count once', () => {
  crash(['a,b,1', 'a,b,2', 'a,b,3', 'a,b,4'])
  expect(quarantine.size).toBe(0)
})

test('a culprit at the front of prompts is found although each of its prompts has other parts', () => {
  const prompts = ['y1', 'y2', 'y3', 'y4'].flatMap((part) => [1, 2, 3].map((last) => `d,${part},${last}`))
  let reached = 0
  for (const prompt of prompts) {
    if (isBlocked(prompt)) continue
    reached += 1
    crash([prompt])
  }
  expect([isBlocked('d,other,9'), reached]).toEqual([true, 6])
})

test('two culprits at the same time are both found', () => {
  for (const last of ['1', '2', '3']) {
    crash([`a,d1,${last}`])
    crash([`a,d2,${last}`])
    quarantine.recordAnswer(toPrompt('a,b,x'))
  }
  expect(['a,d1,9', 'a,d2,9', 'a,9'].map((prompt) => isBlocked(prompt))).toEqual([true, true, false])
})

test('after a quarantine one router after the other may try one request, and an answer ends the suspicion', () => {
  const second = createQuarantine(1)
  for (const last of ['1', '2', '3']) crash([`a,d,${last}`])
  second.apply(quarantine.notesSince(0, 100).notes, true)
  clock.ms += QUARANTINE_MS - 1
  expect([isBlocked('a,d,9'), isBlocked('a,d,9', second)]).toEqual([true, true])
  clock.ms += 1
  expect([isBlocked('a,d,9'), isBlocked('a,d,9', second)]).toEqual([false, true])
  quarantine.beginCall(toPrompt('a,d,9'))
  expect(isBlocked('a,d,8')).toBe(true)
  quarantine.recordAnswer(toPrompt('a,d,9'))
  second.apply(quarantine.notesSince(0, 100).notes, true)
  expect([quarantine.size, second.size]).toEqual([0, 0])
})

test('a trial that crashes an endpoint renews the quarantine for twice the time', () => {
  for (const last of ['1', '2', '3']) crash([`a,d,${last}`])
  clock.ms += QUARANTINE_MS
  quarantine.beginCall(toPrompt('a,d,9'))
  crash(['a,d,9'], 0)
  quarantine.endCall(toPrompt('a,d,9'))
  clock.ms += 2 * QUARANTINE_MS - 1
  expect(isBlocked('a,d,8')).toBe(true)
  clock.ms += 1
  expect(isBlocked('a,d,8')).toBe(false)
})

test('a trial that ends without an answer or a crash can be repeated', () => {
  for (const last of ['1', '2', '3']) crash([`a,d,${last}`])
  clock.ms += QUARANTINE_MS
  quarantine.beginCall(toPrompt('a,d,9'))
  quarantine.endCall(toPrompt('a,d,9'))
  expect(isBlocked('a,d,8')).toBe(false)
})

test('routers that each saw one crash agree by what they tell each other', () => {
  const routers = [quarantine, createQuarantine(1), createQuarantine(2)]
  const cursors = new Map<string, number>()
  for (const [number, router] of routers.entries()) {
    crash([`a,d,${number}`], SECOND_MS, router)
    for (const [from, sender] of routers.entries()) {
      for (const [to, receiver] of routers.entries()) {
        const changes = sender.notesSince(cursors.get(`${from} ${to}`) ?? 0, 100)
        cursors.set(`${from} ${to}`, changes.cursor)
        if (sender !== receiver) receiver.apply(JSON.parse(JSON.stringify(changes.notes)), false)
      }
    }
  }
  expect(routers.map((router) => isBlocked('a,d,9', router))).toEqual([true, true, true])
})

test('news of an answer before the crashes do not release a part', () => {
  const events: string[] = []
  const record = (event: string): void => { events.push(event) }
  const target = new PromptQuarantine({ clock, log: { info: record, warn: record }, rank: () => 0 })
  for (const last of ['1', '2', '3']) crash([`d,${last}`], SECOND_MS, target)
  target.apply({ crashes: [], clearances: [{ partId: 'd', ageMs: 9_000 }] }, false)
  expect([isBlocked('d,9', target), events.filter((event) => event.startsWith('prompt-part'))]).toEqual([true, ['prompt-part-quarantined']])
})

test('news are passed on once', () => {
  const other = createQuarantine(1)
  crash(['a,d,1'])
  other.apply(quarantine.notesSince(0, 100).notes, false)
  const { cursor } = quarantine.notesSince(0, 100)
  quarantine.apply(other.notesSince(0, 100).notes, false)
  expect(quarantine.notesSince(0, 100).cursor).toBe(cursor)
  expect(quarantine.notesSince(cursor, 100).notes).toEqual({ crashes: [], clearances: [] })
})

test('routers that know the same crashes and answers quarantine the same parts, in whatever order they learned of them', () => {
  const parts = ['a', 'b', 'c', 'd'].map((id, depth) => ({ id, depth }))
  const crash = fc.record({ number: fc.integer({ min: 0, max: 7 }), parts: fc.subarray(parts, { minLength: 1 }) })
    .map(({ number, parts }) => ({ crashes: [{ crashId: `e${number}`, parts, ageMs: 1_000 * number }], clearances: [] }))
  const answer = fc.record({ partId: fc.constantFrom('a', 'b', 'c', 'd'), ageMs: fc.integer({ min: 0, max: 8_000 }) })
    .map((clearance) => ({ crashes: [], clearances: [clearance] }))
  const news = fc.array(fc.oneof({ weight: 4, arbitrary: crash }, { weight: 1, arbitrary: answer }), { maxLength: 20 })
  const shuffled = news.chain((notes) => fc.tuple(fc.constant(notes), fc.shuffledSubarray(notes, { minLength: notes.length, maxLength: notes.length })))
  fc.assert(fc.property(shuffled, ([left, right]) => {
    const routers = [left, right].map((notes) => {
      const router = createQuarantine(0)
      for (const note of notes) router.apply(note, false)
      return router
    })
    const [first, second] = routers.map((router) => parts.map(({ id }) => isBlocked(`${id},x`, router)))
    expect(first).toEqual(second)
  }), { seed: 26, numRuns: 2_000 })
})
