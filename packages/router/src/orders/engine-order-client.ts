import type { EngineOrder } from './engine-order.js'
import type { EngineState } from './engine-state.js'

/** Reads engines' states and gives them orders. */
export interface EngineOrderClient {
  /**
   * Reads back what an engine holds.
   * @param address IP number and port
   * @param timeoutMs bound on the call, in milliseconds
   * @throws {MimosarockError} ENDPOINT_FAILED
   */
  read (address: string, timeoutMs: number): Promise<EngineState>
  /**
   * Gives an order.
   * @param order the order
   * @param fencingNumber offset of the claim under which it is given
   * @param timeoutMs bound on the call, in milliseconds
   * @throws {MimosarockError} ORDER_REFUSED if the engine has seen a higher fencing number, ORDER_NOT_CONFIRMED
   * if it gave no answer and may have taken the order
   */
  order (order: EngineOrder, fencingNumber: number, timeoutMs: number): Promise<void>
}
