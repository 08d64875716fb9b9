import { create } from '@bufbuild/protobuf'
import type { Configuration } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationSchema, PlacementGoal, PoolKind } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'

/** Returns a small valid configuration. */
export function sampleConfiguration (): Configuration {
  return create(ConfigurationSchema, {
    workspaces: [{ name: 'alpha', requestsPerSecond: 10, concurrency: 5, priority: 3, weight: 1, models: ['small'] }],
    pools: [
      {
        name: 'chat',
        kind: PoolKind.MODEL,
        endpoints: [
          { name: 'engine-1', address: '10.0.0.1:8000', availabilityZone: 'a', capacity: 16 },
          { name: 'engine-2', address: '10.0.0.2:8000', availabilityZone: 'b', capacity: 16 }
        ],
        loadMultiple: 1.25,
        goal: PlacementGoal.SKEW,
        models: [{ model: 'small', replicas: 2 }]
      },
      {
        name: 'gifts',
        kind: PoolKind.SERVICE,
        endpoints: [{ name: 'gifts-1', address: '10.0.0.3:9000', availabilityZone: 'a', capacity: 8 }]
      }
    ],
    routes: [
      { name: 'small', model: 'small', pool: 'chat', repeatable: true, deadlineMs: 60_000 },
      { name: 'gifts', model: '/v1', pool: 'gifts', deadlineMs: 5_000, statusPath: '/v1/runs/{key}' }
    ],
    retirementRules: [{ name: 'chat', pool: 'chat', drainMs: 10_000, minimumLiveEndpoints: 1 }],
    retirements: [{ pool: 'chat', endpoint: 'engine-2', reason: 'replaced' }]
  })
}
