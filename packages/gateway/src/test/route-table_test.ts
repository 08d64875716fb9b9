import * as fc from 'fast-check'
import { expect, test } from 'vitest'
import { pickService } from '@mimosarock/gateway/caller/pick-service.js'
import { RouteTable } from '@mimosarock/gateway/configuration/route-table.js'
import { createConfiguration } from './create-configuration.js'

const [base] = createConfiguration(1).routes
const table = new RouteTable({
  ...createConfiguration(1),
  routes: [['a', 'h', '/x/'], ['b', 'h', '/x/y/'], ['c', 'other', '/x/y/z/']].map(([name, host, pathPrefix]) => ({
    ...base as NonNullable<typeof base>, name: name as string, host: host as string, pathPrefix: pathPrefix as string
  }))
})

test.each([
  ['h', '/x/1', 'a'], ['h', '/x/y/1', 'b'], ['h', '/x/y', 'a'], ['h', '/x', undefined], ['h', '/', undefined],
  ['other', '/x/y/1', undefined], ['none', '/x/1', undefined]
])('%s %s matches route %s', (host, path, expected) => {
  expect(table.find(host, path)?.name).toBe(expected)
})

test('requests are split by weight, and each request id always maps to the same service', () => {
  const shares = [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }]
  const ids = fc.sample(fc.stringMatching(/^[0-9a-f]{16}$/), { numRuns: 4_000, seed: 5 })
  const picked = ids.map((id) => pickService(shares, id))
  expect(ids.map((id) => pickService(shares, id))).toEqual(picked)
  const toSecond = picked.filter((service) => service === 'b').length / ids.length
  expect(toSecond).toBeGreaterThan(0.07)
  expect(toSecond).toBeLessThan(0.13)
})
