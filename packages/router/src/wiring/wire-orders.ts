import { LeaseHolder } from '@mimosarock/coordination/leases/lease-holder.js'
import { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'
import type { OrderComponents } from './order-components.js'
import { HttpEngineOrderClient } from '../orders/http-engine-order-client.js'
import { OrderTask } from '../orders/order-task.js'
import type { WireOrdersOptions } from './wire-orders-options.js'

const LEASE = 'orders'
const CALL_TIMEOUT_MS = 2_000
/** Time since the last response of an engine after which it counts as lost. */
const LOST_AFTER_MS = 10_000

/**
 * Creates the lease holder and the task that sends orders to engines while the lease is held.
 * @param options components and settings that they depend on
 */
export function wireOrders (options: WireOrdersOptions): OrderComponents {
  const { streams, routerId, health, auditTrail } = options
  const { clock, eventLog, settings } = options.processOptions
  const lease = new LeaseHolder({
    lease: LEASE,
    processId: routerId,
    replica: streams.leases.replica,
    fold: streams.leases.fold,
    appender: streams.leases.appender,
    clock,
    eventLog,
    durationMs: settings.orders.lease_ms,
    stopMarginMs: settings.orders.stop_margin_ms,
    pauseAllowanceMs: settings.orders.pause_allowance_ms,
    isCandidate: options.isCandidate
  })
  const task = new OrderTask({
    lease,
    configuration: streams.configuration,
    client: new HttpEngineOrderClient(),
    auditTrail,
    clock,
    eventLog,
    routerId,
    isUsable: (pool, endpoint) => health.availability(pool, endpoint) !== EndpointAvailability.LEAVING,
    passIntervalMs: settings.orders.pass_ms,
    callTimeoutMs: CALL_TIMEOUT_MS,
    lostAfterMs: LOST_AFTER_MS,
    maximumLoads: settings.orders.maximum_loads
  })
  return { lease, task }
}
