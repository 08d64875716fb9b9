import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { RouterProcessOptions } from '@mimosarock/router/wiring/router-process-options.js'
import type { ModelEngineOptions } from '@mimosarock/stand-ins/model-engine-options.js'
import type { MessageInitShape } from '@bufbuild/protobuf'
import type { PoolSchema, RouteSchema, WorkspaceSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { RouterSettingsInput } from './router-settings-input.js'

/** Options of a fleet. All are optional. */
export interface FleetOptions {
  /** Number of routers to start; 3 by default. */
  readonly routers?: number
  /** Options of each model engine to start; 3 engines with default options by default. */
  readonly engines?: readonly ModelEngineOptions[]
  /** Number of plain services to start; 1 by default. */
  readonly services?: number
  /** Availability zones, assigned to routers and endpoints in round-robin order; a, b and c by default. */
  readonly availabilityZones?: readonly string[]
  /** Settings of every router, which override the fleet's settings key by key. */
  readonly settings?: RouterSettingsInput
  /** Receives the routers' events; they are discarded by default. */
  readonly eventLog?: EventLog
  /** Fields of the pool `chat`, which override the fleet's defaults. */
  readonly modelPool?: MessageInitShape<typeof PoolSchema>
  /** Workspaces of the configuration; one named `alpha` by default. */
  readonly workspaces?: ReadonlyArray<MessageInitShape<typeof WorkspaceSchema>>
  /** Fields of the route `payments`, which override the fleet's defaults. */
  readonly paymentsRoute?: MessageInitShape<typeof RouteSchema>
  /** Whether routers call the log service and the VM list over HTTP; by default they call them in process. */
  readonly platformOverHttp?: boolean
  /** Returns options of a router process, which override the fleet's defaults. */
  readonly processOptions?: (routerId: string, defaults: RouterProcessOptions) => Partial<RouterProcessOptions>
  /** Whether `start` submits the default configuration; true by default. */
  readonly configure?: boolean
}
