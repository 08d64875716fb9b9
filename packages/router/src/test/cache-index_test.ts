import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { Clock } from '@mimosarock/coordination/clock.js'
import type { CacheEventPage } from '../contexts/cache-event-page.js'
import { CacheIndex } from '../contexts/cache-index.js'

type CacheEvent = CacheEventPage['events'][number]

class ManualClock implements Clock {
  time = 0

  now (): number {
    return this.time
  }

  wallNow (): number {
    return this.time
  }

  async sleep (): Promise<void> {}
}

/** An engine that loses events and whose feed lags behind its cache. */
class LossyEngine {
  readonly cached = new Map<string, number>()
  /** Contents of the cache after each sequence number. */
  readonly history = new Map<number, ReadonlyMap<string, number>>([[0, new Map()]])
  events: CacheEvent[] = []
  sequence = 0

  change (kind: CacheEvent['kind'], key: string, tokens: number, lost: boolean): void {
    this.sequence += 1
    if (kind === 'stored') this.cached.set(key, tokens)
    if (kind === 'evicted') this.cached.delete(key)
    if (kind === 'cleared') this.cached.clear()
    this.history.set(this.sequence, new Map(this.cached))
    if (!lost) this.events.push({ sequence: this.sequence, kind, cache_key: key, tokens })
  }

  restart (): void {
    this.events = []
    this.sequence = 0
    this.history.clear()
    this.change('cleared', '', 0, false)
  }

  page (after: number, visible: number): CacheEventPage {
    const visibleEvents = this.events.slice(0, Math.max(visible, 0))
    const newest = visibleEvents.at(-1)?.sequence ?? Math.min(after, this.sequence)
    return {
      oldest: this.events[0]?.sequence ?? this.sequence + 1,
      newest,
      events: after > newest ? visibleEvents : visibleEvents.filter((event) => event.sequence > after)
    }
  }
}

const key = fc.constantFrom('a', 'b', 'c')
/** Steps of a property test; `dropKept` discards all events that the engine has retained. */
const step = fc.oneof(
  fc.record({ kind: fc.constant('stored' as const), key, tokens: fc.integer({ min: 1, max: 9 }), lost: fc.boolean() }),
  fc.record({ kind: fc.constant('evicted' as const), key, lost: fc.boolean() }),
  fc.record({ kind: fc.constant('restart' as const) }),
  fc.record({ kind: fc.constant('dropKept' as const) }),
  fc.record({ kind: fc.constant('read' as const), lag: fc.integer({ min: 0, max: 3 }) })
)

test('contexts reported as certain were in the cache at the current position, whichever events are lost', () => {
  let certainCount = 0
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    const engine = new LossyEngine()
    const index = new CacheIndex(new ManualClock(), 100)
    let restarted = false
    for (const item of steps) {
      if (item.kind === 'stored') engine.change('stored', item.key, item.tokens, item.lost)
      else if (item.kind === 'evicted') engine.change('evicted', item.key, 0, item.lost)
      else if (item.kind === 'dropKept') engine.events = []
      else if (item.kind === 'restart') {
        engine.restart()
        restarted = true
      } else {
        // A restart closes the reader's connection, after which it resynchronizes.
        if (restarted) index.resync()
        restarted = false
        index.apply(engine.page(index.position, engine.events.length - item.lag))
        for (const name of ['a', 'b', 'c']) {
          const context = index.get(name)
          if (context?.certain !== true) continue
          certainCount += 1
          expect(context.tokens).toBe(engine.history.get(index.position)?.get(name))
        }
      }
    }
  }), { seed: 7, numRuns: 2_000 })
  expect(certainCount).toBeGreaterThan(100)
})

test('an uncertain context expires after 60 s unless another event confirms it', () => {
  const clock = new ManualClock()
  const index = new CacheIndex(clock, 100)
  const stored = (sequence: number, cacheKey: string): CacheEvent => ({ sequence, kind: 'stored', cache_key: cacheKey, tokens: sequence })
  index.apply({ oldest: 1, newest: 2, events: [stored(1, 'a'), stored(2, 'b')] })
  index.apply({ oldest: 1, newest: 4, events: [stored(4, 'b')] })
  const certainty = (): unknown => ['a', 'b'].map((name) => index.get(name)?.certain)
  const states = [certainty()]
  clock.time = 59_000
  states.push(certainty())
  clock.time = 61_000
  states.push(certainty())
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

test('contexts become uncertain as soon as the engine has discarded unread events', () => {
  const index = new CacheIndex(new ManualClock(), 100)
  index.apply({ oldest: 1, newest: 1, events: [{ sequence: 1, kind: 'stored', cache_key: 'a', tokens: 5 }] })
  expect(index.get('a')?.certain).toBe(true)
  index.apply({ oldest: 4, newest: 1, events: [] })
  expect(index.get('a')?.certain).toBe(false)
})
