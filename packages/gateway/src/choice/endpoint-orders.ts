import { RendezvousOrder } from '@mimosarock/placement/rendezvous-order.js'
import type { EndpointTable } from '../membership/endpoint-table.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import { allowedEndpoints } from './allowed-endpoints.js'
import type { MayRunAt } from './may-run-at.js'

/** Number of hexadecimal digits of a key of the rendezvous order. */
const KEY_DIGITS = 16

/** Endpoint as a member of a rendezvous order. */
interface RendezvousMember {
  readonly name: string
  readonly capacity: number
  readonly endpoint: EndpointEntry
}

/** Rendezvous orders of a service. */
interface ServiceOrders {
  /** All endpoints of the service that accept requests, from which the orders were computed; a change replaces the array. */
  readonly registered: readonly EndpointEntry[]
  /** Order of those at which a request may run. */
  readonly order: RendezvousOrder<RendezvousMember>
  /** Order of all endpoints of the service, also of those in evacuated zones; `order` if there are none or requests have a constraint. */
  readonly orderOfAll: RendezvousOrder<RendezvousMember>
}

/** Rendezvous orders by service. */
type OrdersByService = Map<string, ServiceOrders>

/** Rendezvous orders of the endpoints of each service, kept until the endpoints change. */
export class EndpointOrders {
  private readonly _endpoints: EndpointTable
  private readonly _orders: OrdersByService = new Map()
  /** Orders of the endpoints at which requests with a constraint may run. */
  private readonly _constrainedOrders = new WeakMap<MayRunAt, OrdersByService>()

  /**
   * @param endpoints registered endpoints
   */
  constructor (endpoints: EndpointTable) {
    this._endpoints = endpoints
  }

  /**
   * Returns the first endpoints of the order of a key that accept requests.
   * @param service name of the service
   * @param key key of a context
   * @param count maximum number of endpoints
   * @param mayRunAt returns whether the request may run at an endpoint; undefined if it may run at all of them
   */
  first (service: string, key: string, count: number, mayRunAt: MayRunAt | undefined): readonly EndpointEntry[] {
    return this._ordersOf(service, mayRunAt).order.first(orderKeyOf(key), count).map(({ endpoint }) => endpoint)
  }

  /**
   * Returns the primary of a key, which all routers know: the first among all endpoints, whatever constraints a request has. The contexts of an
   * evacuated primary are copied to the endpoints that take its place. Those are announced as holders, since other routers assume
   * that the primary holds them.
   * @param service name of the service
   * @param key key of a context
   */
  primary (service: string, key: string): EndpointEntry | undefined {
    return this._ordersOf(service, undefined).orderOfAll.first(orderKeyOf(key), 1)[0]?.endpoint
  }

  private _ordersOf (service: string, mayRunAt: MayRunAt | undefined): ServiceOrders {
    const registered = this._endpoints.ready(service)
    const orders = this._ordersWith(mayRunAt)
    const cached = orders.get(service)
    if (cached?.registered === registered) return cached
    const order = createOrder(allowedEndpoints(registered, mayRunAt))
    // Primaries do not depend on constraints, so no order of all endpoints is needed for these.
    const evacuated = mayRunAt === undefined ? this._endpoints.evacuated(service) : []
    const orderOfAll = evacuated.length === 0 ? order : createOrder([...registered, ...evacuated])
    const created = { registered, order, orderOfAll }
    orders.set(service, created)
    return created
  }

  private _ordersWith (mayRunAt: MayRunAt | undefined): OrdersByService {
    if (mayRunAt === undefined) return this._orders
    let orders = this._constrainedOrders.get(mayRunAt)
    if (orders === undefined) {
      orders = new Map()
      this._constrainedOrders.set(mayRunAt, orders)
    }
    return orders
  }
}

function createOrder (endpoints: readonly EndpointEntry[]): RendezvousOrder<RendezvousMember> {
  return new RendezvousOrder(endpoints.map((endpoint) => ({ name: endpoint.id, capacity: endpoint.slots, endpoint })))
}

function orderKeyOf (key: string): string {
  return key.padStart(KEY_DIGITS, '0').slice(-KEY_DIGITS)
}
