import type { KeyedCall } from '../operations/keyed-call.js'
import type { ConfigurationSource } from '@mimosarock/coordination/configuration-source.js'
import type { PoolOrder } from '../entry/pool-order.js'
import type { EndpointDispatch } from '../forward/endpoint-dispatch.js'
import type { PlacementParts } from './placement-parts.js'
import type { RouterProcessOptions } from './router-process-options.js'
import type { Readiness } from '../status/readiness.js'
import type { RouterMetrics } from '../status/router-metrics.js'

/** What the callers' side is wired to. */
export interface WireCallersOptions {
  readonly process: RouterProcessOptions
  readonly configuration: ConfigurationSource
  readonly order: PoolOrder
  readonly placement: PlacementParts
  /** Hands calls to the owners of endpoints. */
  readonly dispatch: EndpointDispatch
  /** Sends calls that may not be repeated straight from this router. */
  readonly dispatchOnce: EndpointDispatch
  readonly keyedCall: KeyedCall
  readonly readiness: Readiness
  readonly metrics: RouterMetrics
}
