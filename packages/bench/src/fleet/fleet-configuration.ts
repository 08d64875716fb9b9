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
 * Creates the configuration of a fleet. The pool `chat` contains all engines and serves the route `chat` for the model
 * `m`. The pool `gifts` contains all services and serves the route `lists` for repeatable calls and the route `payments`
 * for calls that are not repeatable.
 * @param options options of the fleet, which override pool and route fields
 * @param engines started engines
 * @param services started services
 * @param zoneOf returns the availability zone of the endpoint at an index
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
