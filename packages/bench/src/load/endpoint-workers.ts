import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import type { EndpointOptions } from './endpoint-options.js'

/** Endpoints that each run in a worker thread, so that they use no processor time of the router's thread. */
export class EndpointWorkers {
  /** IP address and port of each endpoint, in the order in which they were passed to `start`. */
  readonly addresses: readonly string[]
  private readonly _workers: readonly Worker[]

  private constructor (workers: readonly Worker[], addresses: readonly string[]) {
    this._workers = workers
    this.addresses = addresses
  }

  /**
   * Starts one thread for each endpoint.
   * @param endpoints options of each endpoint
   * @returns the workers, once every endpoint accepts connections
   */
  static async start (endpoints: readonly EndpointOptions[]): Promise<EndpointWorkers> {
    const workers = endpoints.map((endpoint) => new Worker(new URL('./endpoint-worker.js', import.meta.url), { workerData: endpoint }))
    const messages = await Promise.all(workers.map(async (worker) => await once(worker, 'message')))
    return new EndpointWorkers(workers, messages.map(([address]) => address as string))
  }

  /** Terminates the threads. */
  async stop (): Promise<void> {
    await Promise.all(this._workers.map(async (worker) => await worker.terminate()))
  }
}
