import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ConfigurationReadings } from '@mimosarock/gateway/configuration/configuration-readings.js'
import { selectConfigurations } from '@mimosarock/gateway/configuration/select-configurations.js'
import { ConfigurationState } from '@mimosarock/gateway/configuration/configuration-state.js'
import { StoreEra } from '@mimosarock/gateway/model/store-era.js'
import { createConfiguration } from './create-configuration.js'

const SETTLED_MS = 2_200

/** Creates a router whose store is in era 1 and whose configuration has version 10, read a moment ago. */
function createRouter () {
  const clock = { ms: 50_000, now (): number { return this.ms } }
  const storeEra = new StoreEra(clock, new SilentEventLog())
  const configuration = new ConfigurationState(clock, new SilentEventLog())
  const readings = new ConfigurationReadings(configuration, storeEra)
  const read = (isSnapshot: boolean, ...versions: number[]): void => {
    const changes = versions.map((version) => ({ key: 'configuration', value: createConfiguration(version) }))
    readings.apply({ changes, nextPosition: { era: storeEra.number, offset: 1 }, isSnapshot }, clock.now())
  }
  const readEvacuation = (): void => {
    const changes = [{ key: 'evacuation', value: { zone: 'z', isEvacuated: true } }]
    readings.apply(selectConfigurations({ changes, nextPosition: { era: storeEra.number, offset: 1 }, isSnapshot: false }), clock.now())
  }
  storeEra.observe(1)
  read(true, 10)
  clock.ms += 1_000
  return { clock, storeEra, configuration, read, readEvacuation }
}

test('an older version that the copy holds does not replace the one in force and is no news of the operator', () => {
  const { clock, storeEra, configuration, read } = createRouter()
  storeEra.observe(2)
  read(true, 9)
  expect([configuration.version, configuration.ageMs]).toEqual([10, 1_000])
  clock.ms += SETTLED_MS
  read(false)
  expect([configuration.version, configuration.ageMs]).toEqual([10, 1_000 + SETTLED_MS])
})

test('the copy is no news of the operator while a later version may have been lost, even if it holds the one in force', () => {
  const { clock, storeEra, configuration, read } = createRouter()
  storeEra.observe(2)
  read(true, 10)
  expect(configuration.ageMs).toBe(1_000)
  clock.ms += SETTLED_MS
  read(false)
  expect(configuration.ageMs).toBe(0)
})

test('a version that the operator writes again counts at once', () => {
  const { clock, storeEra, configuration, read } = createRouter()
  storeEra.observe(2)
  read(true, 9)
  clock.ms += 300
  read(false, 10)
  expect(configuration.ageMs).toBe(0)
})

// Guards against API keys that are served because the operator evacuates a zone while a later configuration may be lost.
test('an evacuation is no news of the configuration', () => {
  const { storeEra, configuration, read, readEvacuation } = createRouter()
  storeEra.observe(2)
  read(true, 10)
  readEvacuation()
  expect(configuration.ageMs).toBe(1_000)
})

test('a reading of the copy counts as a reading, so that the other routers go on following this one', () => {
  const { clock, storeEra, configuration, read } = createRouter()
  storeEra.observe(2)
  read(true, 9)
  expect(configuration.readAt).toBe(clock.ms)
})

test('a router that read the copy before it heard of the change does not count that reading', () => {
  const { clock, storeEra, configuration, read } = createRouter()
  const verifiedBefore = configuration.verifiedAt
  storeEra.learn({ era: 1, changedAgoMs: 1_500 }, 'other')
  expect(configuration.verifiedAt).toBe(-Infinity)
  expect(verifiedBefore).toBe(clock.ms - 1_000)
  read(true, 10)
  expect(configuration.ageMs).toBe(Infinity)
})
