import type { LeaseHolder } from '@mimosarock/coordination/leases/lease-holder.js'
import type { OrderTask } from '../orders/order-task.js'

/** The parts of a router that give orders to engines while it holds the lease. */
export interface OrderParts {
  readonly lease: LeaseHolder
  readonly task: OrderTask
}
