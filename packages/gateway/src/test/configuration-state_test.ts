import fc from 'fast-check'
import { expect, test } from 'vitest'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import { ConfigurationState } from '@mimosarock/gateway/configuration/configuration-state.js'
import type { GatewayConfiguration } from '@mimosarock/gateway/model/gateway-configuration.js'
import { createConfiguration } from './create-configuration.js'

const clock = { now: () => 0 }
const createState = (): ConfigurationState => new ConfigurationState(clock, new SilentEventLog())

/** An arbitrary configuration with a subset of the routes, services and workspaces, each with varying content. */
const anyConfiguration: fc.Arbitrary<Omit<GatewayConfiguration, 'version'>> = fc.record({
  routes: fc.subarray([...createConfiguration(1).routes]).chain((routes) => {
    return fc.tuple(...routes.map((route) => fc.integer({ min: 1, max: 3 }).map((attempts) => ({ ...route, maximumAttempts: attempts }))))
  }),
  services: fc.subarray(['a', 'b', 'c']).map((names) => names.map((name) => ({ name, maximumConnections: 4 }))),
  limits: fc.option(fc.constant(createConfiguration(1).limits), { nil: undefined }),
  workspaces: fc.option(fc.subarray(['w1', 'w2', 'w3', 'w4']).chain((names) => {
    return fc.tuple(...names.map((name) => fc.subarray(['k1', 'k2']).map((apiKeys) => ({ name, apiKeys, priority: undefined }))))
  }), { nil: undefined })
})

function sorted (configuration: GatewayConfiguration | undefined): unknown {
  const byName = (one: { readonly name: string }, other: { readonly name: string }): number => one.name.localeCompare(other.name)
  return JSON.parse(JSON.stringify(configuration, (_key, value: unknown) => {
    return Array.isArray(value) && value.every((item) => typeof item === 'object') ? [...value].sort(byName) : value
  }))
}

test('patches from any version result in the same configuration as the full configuration', () => {
  fc.assert(fc.property(fc.array(anyConfiguration, { minLength: 2, maxLength: 12 }), fc.nat(), fc.integer({ min: 1, max: 9 }), (contents, start, step) => {
    const versions = contents.map((content, index) => ({ ...content, version: (index + 1) * step }))
    const reader = createState()
    const follower = createState()
    const begin = start % versions.length
    versions.forEach((version, index) => {
      reader.adopt(version, 'store')
      if (index === begin) follower.adopt(version, 'store')
    })
    if (begin < versions.length - 1) {
      const patches = reader.patchesSince(follower.version)
      follower.adoptPatches(JSON.parse(JSON.stringify(patches)), 'reader')
    }
    expect(sorted(follower.inForce?.configuration)).toEqual(sorted(versions.at(-1)))
  }), { seed: 11, numRuns: 300 })
})

test('no patches are returned for a version that was never adopted', () => {
  const reader = createState()
  reader.adopt(createConfiguration(4), 'store')
  reader.adopt(createConfiguration(8), 'store')
  expect([reader.patchesSince(3), reader.patchesSince(4)?.length, reader.patchesSince(0)]).toEqual([undefined, 1, undefined])
})

test('no patches are returned for a configuration with duplicate route names', () => {
  const reader = createState()
  const { routes } = createConfiguration(1)
  reader.adopt(createConfiguration(1), 'store')
  reader.adopt({ ...createConfiguration(2), routes: [...routes, ...routes] }, 'store')
  expect(reader.patchesSince(1)).toBe(undefined)
})

test('patches that are not based on the version in force are ignored', () => {
  const reader = createState()
  for (const version of [4, 8, 9]) reader.adopt(createConfiguration(version), 'store')
  const follower = createState()
  follower.adopt(createConfiguration(5), 'store')
  follower.adoptPatches(reader.patchesSince(4) ?? [], 'reader')
  expect(follower.version).toBe(5)
})

test('the patch for one changed key among 19,000 workspaces is small', () => {
  const workspaces = Array.from({ length: 19_000 }, (_, index) => ({ name: `w${index}`, apiKeys: [`k${index}`], priority: undefined }))
  const reader = createState()
  reader.adopt({ ...createConfiguration(1), workspaces }, 'store')
  reader.adopt({ ...createConfiguration(2), workspaces: workspaces.map((workspace) => workspace.name === 'w7' ? { ...workspace, apiKeys: [] } : workspace) }, 'store')
  const [patch] = reader.patchesSince(1) ?? []
  expect(patch?.workspaces).toEqual({ changed: [{ name: 'w7', apiKeys: [], priority: undefined }], removed: [] })
  expect(JSON.stringify(patch).length).toBeLessThan(1_000)
})
