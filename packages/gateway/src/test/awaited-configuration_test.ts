import { expect, test } from 'vitest'
import { AwaitedConfiguration } from '@mimosarock/gateway/configuration/awaited-configuration.js'

/** A router with version 3 in force, which the store held as the newest at 1,000. */
function createAwaited () {
  const clock = { ms: 1_000, now (): number { return this.ms } }
  const awaited = new AwaitedConfiguration(clock)
  awaited.putInForce(3)
  awaited.verify(1_000)
  return { clock, awaited }
}

test('a version is awaited from its announcement until it is in force, and a newer one after it', () => {
  const { clock, awaited } = createAwaited()
  awaited.hear(3, 1_100)
  expect(awaited.version).toBe(undefined)
  awaited.hear(5, 1_100)
  clock.ms = 1_400
  awaited.hear(4, 1_400)
  expect([awaited.version, awaited.elapsedMs]).toEqual([5, 400])
  awaited.putInForce(4)
  expect([awaited.version, awaited.elapsedMs]).toEqual([5, 0])
  awaited.putInForce(5)
  expect([awaited.version, awaited.elapsedMs]).toEqual([undefined, 0])
})

// Guards against routers that wait for ever for a version that a store has lost of which only the number was heard.
test('a version is no longer awaited when the store is read after the announcement and holds none', () => {
  const { awaited } = createAwaited()
  awaited.hear(5, 1_100)
  awaited.verify(1_050)
  expect(awaited.version).toBe(5)
  awaited.verify(1_200)
  expect(awaited.version).toBe(undefined)
})

// Guards against routers that tell each other of a reading that has ended.
test('a version without a number is awaited while this router reads it, or another one has stated that a moment ago', () => {
  const { clock, awaited } = createAwaited()
  awaited.beginReading()
  clock.ms = 3_000
  expect([awaited.version, awaited.statedAt]).toEqual([0, 3_000])
  awaited.endReading()
  expect(awaited.version).toBe(undefined)
  awaited.hear(0, 2_500)
  expect([awaited.version, awaited.statedAt]).toEqual([0, 2_500])
  clock.ms = 3_600
  expect(awaited.version).toBe(undefined)
})

// Guards against CONFIG: a router that heard of a version late counted the time from then on, though others had known of it for the whole bound.
test('the time for which a version is lacked counts from the moment at which some router knew of it, and goes on with the next one that is lacked', () => {
  const { clock, awaited } = createAwaited()
  clock.ms = 2_000
  awaited.hear(0, 1_990, 1_700)
  expect(awaited.lackedMs).toBe(300)
  awaited.hear(4, 2_000)
  clock.ms = 2_500
  awaited.hear(5, 2_500, 2_300)
  expect(awaited.lackedMs).toBe(800)
  awaited.putInForce(4)
  expect([awaited.lackedMs, awaited.inForceKnownSince]).toEqual([200, 1_700])
  awaited.putInForce(5)
  expect([awaited.lackedMs, awaited.inForceKnownSince]).toEqual([0, 2_300])
})
