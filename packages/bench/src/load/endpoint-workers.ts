import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import type { EndpointOrder } from './endpoint-order.js'

/** Endpoints in threads of their own, so that they take no time of the router's thread. */
export class EndpointWorkers {
  /** IP numbers and ports, in the order of the orders. */
  readonly addresses: readonly string[]
  private readonly _workers: readonly Worker[]

  private constructor (workers: readonly Worker[], addresses: readonly string[]) {
    this._workers = workers
    this.addresses = addresses
  }

  /**
   * Starts one thread for each endpoint.
   * @param orders the endpoints
   */
  static async start (orders: readonly EndpointOrder[]): Promise<EndpointWorkers> {
    const workers = orders.map((order) => new Worker(new URL('./endpoint-worker.js', import.meta.url), { workerData: order }))
    const messages = await Promise.all(workers.map(async (worker) => await once(worker, 'message')))
    return new EndpointWorkers(workers, messages.map(([address]) => address as string))
  }

  /** Ends the threads. */
  async stop (): Promise<void> {
    await Promise.all(this._workers.map(async (worker) => await worker.terminate()))
  }
}
