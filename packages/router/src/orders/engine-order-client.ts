import type { EngineOrder } from './engine-order.js'
import type { EngineState } from './engine-state.js'

/** Client that reads the states of model engines and sends them orders. */
export interface EngineOrderClient {
  /**
   * Reads the state of an engine.
   * @param address IP address and port of the engine
   * @param timeoutMs timeout for the call, in milliseconds
   * @throws {MimosarockError} ENDPOINT_FAILED if the state could not be read
   */
  read (address: string, timeoutMs: number): Promise<EngineState>
  /**
   * Sends an order to an engine.
   * @param order the order, with the address of the engine
   * @param fencingNumber offset of the lease claim under which the order is sent
   * @param timeoutMs timeout for the call, in milliseconds
   * @throws {MimosarockError} ORDER_REFUSED if the engine has seen a higher fencing number, ORDER_NOT_CONFIRMED
   * if it did not confirm the order and may have executed it
   */
  order (order: EngineOrder, fencingNumber: number, timeoutMs: number): Promise<void>
}
