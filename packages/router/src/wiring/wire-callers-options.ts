import type { KeyedCall } from '../operations/keyed-call.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { PoolOrder } from '../entry/pool-order.js'
import type { EndpointDispatch } from '../forward/endpoint-dispatch.js'
import type { PlacementComponents } from './placement-components.js'
import type { RouterProcessOptions } from './router-process-options.js'
import type { Readiness } from '../status/readiness.js'
import type { RouterMetrics } from '../status/router-metrics.js'

/** Options of `wireCallers`. */
export interface WireCallersOptions {
  readonly processOptions: RouterProcessOptions
  readonly configuration: ConfigurationSource
  readonly poolOrder: PoolOrder
  readonly placement: PlacementComponents
  /** Dispatches calls through the owners of the endpoints. */
  readonly dispatch: EndpointDispatch
  /** Dispatches keyed calls, which must not run twice, directly from this router. */
  readonly directDispatch: EndpointDispatch
  readonly keyedCall: KeyedCall
  readonly readiness: Readiness
  readonly metrics: RouterMetrics
}
