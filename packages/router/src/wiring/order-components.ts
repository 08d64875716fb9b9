import type { LeaseHolder } from '@mimosarock/coordination/leases/lease-holder.js'
import type { OrderTask } from '../orders/order-task.js'

/** Components of a router that send orders to engines while it holds the lease. */
export interface OrderComponents {
  readonly lease: LeaseHolder
  readonly task: OrderTask
}
