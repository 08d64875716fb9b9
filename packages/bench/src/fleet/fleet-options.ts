import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { RouterProcessOptions } from '@mimosarock/router/wiring/router-process-options.js'
import type { ModelEngineOptions } from '@mimosarock/stand-ins/model-engine-options.js'
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { PoolSchema, RouteSchema, WorkspaceSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { RouterSettingsInput } from './router-settings-input.js'

/** What a fleet is made of; everything may be left out. */
export interface FleetOptions {
  /** Routers to start; 3 if left out. */
  readonly routers?: number
  /** Model engines to start, one object each; 3 of the default kind if left out. */
  readonly engines?: readonly ModelEngineOptions[]
  /** Plain services to start; 1 if left out. */
  readonly services?: number
  /** Availability zones that routers and endpoints take in turn; a, b and c if left out. */
  readonly availabilityZones?: readonly string[]
  /** Settings of every router, section by section, over those of the fleet. */
  readonly settings?: RouterSettingsInput
  /** Where the routers' events go; dropped if left out. */
  readonly eventLog?: EventLog
  /** Fields of the pool of model engines over the fleet's own. */
  readonly modelPool?: MessageInitShape<typeof PoolSchema>
  /** Workspaces of the configuration; one named `alpha` if left out. */
  readonly workspaces?: ReadonlyArray<MessageInitShape<typeof WorkspaceSchema>>
  /** Fields of the route `payments` over the fleet's own. */
  readonly paymentsRoute?: MessageInitShape<typeof RouteSchema>
  /** Whether routers reach the platform over HTTP instead of in the same process. */
  readonly platformOverHttp?: boolean
  /** Options of single router processes over the fleet's own, by router id. */
  readonly processOptions?: (routerId: string, own: RouterProcessOptions) => Partial<RouterProcessOptions>
  /** Whether `start` submits the fleet's own configuration; it does if this is left out. */
  readonly configure?: boolean
}
