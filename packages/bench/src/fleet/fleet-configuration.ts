import { create } from '@bufbuild/protobuf'
import type { Configuration } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ConfigurationSchema, PlacementGoal, PoolKind, PoolSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { ModelEngineStandIn } from '@mimosarock/stand-ins/model-engine-stand-in.js'
import type { PlainServiceStandIn } from '@mimosarock/stand-ins/plain-service-stand-in.js'
import type { FleetOptions } from './fleet-options.js'

const CHAT_DEADLINE_MS = 60_000
const SERVICE_DEADLINE_MS = 10_000
const QUEUE_WAIT_MS = 2_000
const SILENCE_MS = 2_000
const DEFAULT_CAPACITY = 16

/**
 * The configuration of a fleet: pool `chat` with all engines and route `chat` for model `m`; pool `gifts` with all
 * services, route `lists` for calls that may be repeated and `payments` for those that may not.
 * @param options the fleet's options
 * @param engines started engines
 * @param services started services
 * @param zoneOf availability zone of the endpoint of an index
 */
export function fleetConfiguration (
  options: FleetOptions,
  engines: readonly ModelEngineStandIn[],
  services: readonly PlainServiceStandIn[],
  zoneOf: (index: number) => string
): Configuration {
  return create(ConfigurationSchema, {
    workspaces: [...options.workspaces ?? [{ name: 'alpha' }]],
    pools: [
      create(PoolSchema, {
        name: 'chat',
        kind: PoolKind.MODEL,
        goal: PlacementGoal.REUSE,
        loadMultiple: 1.25,
        queueWaitMs: QUEUE_WAIT_MS,
        silenceMs: SILENCE_MS,
        endpoints: engines.map((engine, index) => ({
          name: `engine-${index}`,
          address: engine.address,
          availabilityZone: zoneOf(index),
          capacity: options.engines?.[index]?.capacity ?? DEFAULT_CAPACITY
        })),
        ...options.modelPool
      }),
      {
        name: 'gifts',
        kind: PoolKind.SERVICE,
        goal: PlacementGoal.SKEW,
        loadMultiple: 1.25,
        queueWaitMs: QUEUE_WAIT_MS,
        endpoints: services.map((service, index) => ({
          name: `service-${index}`,
          address: service.address,
          availabilityZone: zoneOf(index),
          capacity: DEFAULT_CAPACITY
        }))
      }
    ],
    routes: [
      { name: 'chat', model: 'm', pool: 'chat', repeatable: true, deadlineMs: CHAT_DEADLINE_MS },
      { name: 'lists', pool: 'gifts', repeatable: true, deadlineMs: SERVICE_DEADLINE_MS },
      { name: 'payments', pool: 'gifts', repeatable: false, deadlineMs: SERVICE_DEADLINE_MS, ...options.paymentsRoute }
    ]
  })
}
