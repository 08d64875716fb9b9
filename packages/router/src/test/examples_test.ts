import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { fromJsonString } from '@bufbuild/protobuf'
import { describe, expect, test } from 'vitest'
import { validateConfiguration } from '@mimosarock/coordination/configuration/validate-configuration.js'
import { ConfigurationSchema, PlacementGoal, PoolKind } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { readSettings } from '../settings/read-settings.js'

const examples = fileURLToPath(new URL('../../../../examples/', import.meta.url))

describe.each([
  { name: 'darovnik', engines: 8, goal: PlacementGoal.SKEW },
  { name: 'tengri-ormany', engines: 13, goal: PlacementGoal.REUSE }
])('the example $name', ({ name, engines, goal }) => {
  const configuration = fromJsonString(ConfigurationSchema, readFileSync(`${examples}${name}.json`, 'utf8'))

  test('has valid router settings', () => {
    expect(readSettings(`${examples}${name}.ini`).router.availability_zone).toBe('a')
  })

  test('has a valid configuration', () => {
    expect(validateConfiguration(configuration)).toEqual([])
  })

  test('has the size and the placement goal of its deployment', () => {
    const [models, services] = configuration.pools
    expect([models?.kind, models?.goal, models?.endpoints.length]).toEqual([PoolKind.MODEL, goal, engines])
    expect([services?.kind, services?.endpoints.length]).toEqual([PoolKind.SERVICE, 3])
    expect(new Set(models?.endpoints.map((endpoint) => endpoint.availabilityZone)).size).toBe(3)
    expect(configuration.workspaces.length).toBe(10)
  })

  test('has a status path for every route whose calls must not be repeated', () => {
    const nonRepeatable = configuration.routes.filter((route) => !route.repeatable)
    expect(nonRepeatable.length).toBeGreaterThan(0)
    for (const route of nonRepeatable) expect(route.statusPath).toContain('{key}')
  })
})
