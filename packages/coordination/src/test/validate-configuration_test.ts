import { expect, test } from 'vitest'
import type { Configuration, Pool, Route, Workspace } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { validateConfiguration } from '../configuration/validate-configuration.js'
import { sampleConfiguration } from './sample-configuration.js'

const pool = (configuration: Configuration): Pool => configuration.pools[0] as Pool
const workspace = (configuration: Configuration): Workspace => configuration.workspaces[0] as Workspace
const route = (configuration: Configuration): Route => configuration.routes[0] as Route

const FAULTS: ReadonlyArray<(configuration: Configuration) => void> = [
  (c) => { workspace(c).name = 'no spaces' },
  (c) => { workspace(c).priority = 10 },
  (c) => { workspace(c).requestsPerSecond = NaN },
  (c) => { workspace(c).requestsPerSecond = -1 },
  (c) => { workspace(c).weight = 1_001 },
  (c) => { workspace(c).models = ['unheard'] },
  (c) => { c.workspaces.push(workspace(c)) },
  (c) => { pool(c).loadMultiple = 1 },
  (c) => { pool(c).kind = 0 },
  (c) => { pool(c).endpoints.forEach((endpoint) => { endpoint.address = '10.0.0.1:8000' }) },
  (c) => { pool(c).endpoints.forEach((endpoint) => { endpoint.address = 'engine:8000' }) },
  (c) => { pool(c).endpoints.forEach((endpoint) => { endpoint.address = '10.0.0.256:70000' }) },
  (c) => { pool(c).silenceMs = 10 },
  (c) => { pool(c).models.forEach((placement) => { placement.replicas = 3 }) },
  (c) => { route(c).pool = 'lost' },
  (c) => { route(c).deadlineMs = 0 },
  (c) => { route(c).model = 'other' },
  (c) => { route(c).statusPath = '/runs' },
  (c) => { c.retirementRules.forEach((rule) => { rule.minimumLiveEndpoints = 2 }) },
  (c) => { c.retirements.forEach((retirement) => { retirement.endpoint = 'engine-9' }) }
]

test('the sample configuration is valid', () => {
  expect(validateConfiguration(sampleConfiguration())).toEqual([])
})

test('each fault names field, value, bound and code', () => {
  const lines = FAULTS.flatMap((fault, index) => {
    const configuration = sampleConfiguration()
    fault(configuration)
    const problems = validateConfiguration(configuration)
    if (problems.length === 0) return [`${index}: accepted`]
    return problems.map((problem) => `${index}: ${problem.code} ${problem.field} = ${problem.value}; ${problem.bound}`)
  })
  expect(lines).toMatchSnapshot()
})
