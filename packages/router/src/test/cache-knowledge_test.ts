import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { Clock } from '@mimosarock/coordination/clock.js'
import type { CacheEventPage } from '../contexts/cache-event-page.js'
import { CacheKnowledge } from '../contexts/cache-knowledge.js'

type CacheEvent = CacheEventPage['events'][number]

class HandClock implements Clock {
  time = 0

  now (): number {
    return this.time
  }

  wallNow (): number {
    return this.time
  }

  async sleep (): Promise<void> {}
}

/** An engine whose events get lost and whose reader sees only a part of them. */
class LossyEngine {
  readonly held = new Map<string, number>()
  /** What was held after each sequence. */
  readonly history = new Map<number, ReadonlyMap<string, number>>([[0, new Map()]])
  events: CacheEvent[] = []
  sequence = 0

  change (kind: CacheEvent['kind'], key: string, tokens: number, lost: boolean): void {
    this.sequence += 1
    if (kind === 'stored') this.held.set(key, tokens)
    if (kind === 'evicted') this.held.delete(key)
    if (kind === 'cleared') this.held.clear()
    this.history.set(this.sequence, new Map(this.held))
    if (!lost) this.events.push({ sequence: this.sequence, kind, cache_key: key, tokens })
  }

  restart (): void {
    this.events = []
    this.sequence = 0
    this.history.clear()
    this.change('cleared', '', 0, false)
  }

  page (after: number, visible: number): CacheEventPage {
    const seen = this.events.slice(0, Math.max(visible, 0))
    const newest = seen.at(-1)?.sequence ?? Math.min(after, this.sequence)
    return {
      oldest: this.events[0]?.sequence ?? this.sequence + 1,
      newest,
      events: after > newest ? seen : seen.filter((event) => event.sequence > after)
    }
  }
}

const key = fc.constantFrom('a', 'b', 'c')
const step = fc.oneof(
  fc.record({ kind: fc.constant('stored' as const), key, tokens: fc.integer({ min: 1, max: 9 }), lost: fc.boolean() }),
  fc.record({ kind: fc.constant('evicted' as const), key, lost: fc.boolean() }),
  fc.record({ kind: fc.constant('restart' as const) }),
  fc.record({ kind: fc.constant('dropKept' as const) }),
  fc.record({ kind: fc.constant('read' as const), lag: fc.integer({ min: 0, max: 3 }) })
)

test('what is said to be certain was true at the position, whatever is lost', () => {
  let certainties = 0
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    const engine = new LossyEngine()
    const knowledge = new CacheKnowledge(new HandClock(), 100)
    let restarted = false
    for (const item of steps) {
      if (item.kind === 'stored') engine.change('stored', item.key, item.tokens, item.lost)
      else if (item.kind === 'evicted') engine.change('evicted', item.key, 0, item.lost)
      else if (item.kind === 'dropKept') engine.events = []
      else if (item.kind === 'restart') {
        engine.restart()
        restarted = true
      } else {
        // A restart breaks the reader's connection.
        if (restarted) knowledge.resync()
        restarted = false
        knowledge.apply(engine.page(knowledge.position, engine.events.length - item.lag))
        for (const name of ['a', 'b', 'c']) {
          const context = knowledge.get(name)
          if (context?.certain !== true) continue
          certainties += 1
          expect(context.tokens).toBe(engine.history.get(knowledge.position)?.get(name))
        }
      }
    }
  }), { seed: 7, numRuns: 2_000 })
  expect(certainties).toBeGreaterThan(100)
})

test('a doubtful context is named for a while and then forgotten, unless an event names it again', () => {
  const clock = new HandClock()
  const knowledge = new CacheKnowledge(clock, 100)
  const stored = (sequence: number, cacheKey: string): CacheEvent => ({ sequence, kind: 'stored', cache_key: cacheKey, tokens: sequence })
  knowledge.apply({ oldest: 1, newest: 2, events: [stored(1, 'a'), stored(2, 'b')] })
  knowledge.apply({ oldest: 1, newest: 4, events: [stored(4, 'b')] })
  const seen = (): unknown => ['a', 'b'].map((name) => knowledge.get(name)?.certain)
  const states = [seen()]
  clock.time = 59_000
  states.push(seen())
  clock.time = 61_000
  states.push(seen())
  expect(states).toMatchInlineSnapshot(`
    [
      [
        false,
        true,
      ],
      [
        false,
        true,
      ],
      [
        undefined,
        true,
      ],
    ]
  `)
})

test('events that the engine no longer keeps make what is known doubtful before the next event comes', () => {
  const knowledge = new CacheKnowledge(new HandClock(), 100)
  knowledge.apply({ oldest: 1, newest: 1, events: [{ sequence: 1, kind: 'stored', cache_key: 'a', tokens: 5 }] })
  expect(knowledge.get('a')?.certain).toBe(true)
  knowledge.apply({ oldest: 4, newest: 1, events: [] })
  expect(knowledge.get('a')?.certain).toBe(false)
})
