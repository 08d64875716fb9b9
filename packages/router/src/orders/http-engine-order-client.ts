import { discardBody } from '@mimosarock/coordination/http/discard-body.js'
import { readBoundedBody } from '@mimosarock/coordination/http/read-bounded-body.js'
import { request } from 'undici'
import { z } from 'zod'
import { SMALL_RESPONSE_AGENT } from '../http/small-response-agent.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { EngineOrder } from './engine-order.js'
import type { EngineOrderClient } from './engine-order-client.js'
import type { EngineState } from './engine-state.js'

const HTTP_CONFLICT = 409
/** Maximum length of the state of an engine, in bytes. */
const MAXIMUM_RESPONSE_BYTES = 1_048_576
const OrdersResponse = z.object({
  models: z.array(z.object({ model: z.string(), state: z.string() })),
  adapters: z.array(z.string()).default([]),
  role: z.string().default('mixed')
})

/**
 * Reads engine states by `GET /v1/orders` and sends orders by `PUT /v1/orders`. Each call opens its own connection, so
 * that no call is sent on an existing connection that has become unresponsive.
 */
export class HttpEngineOrderClient implements EngineOrderClient {
  /**
   * Reads the state of an engine.
   * @param address IP address and port of the engine
   * @param timeoutMs timeout for the call, in milliseconds
   * @throws {MimosarockError} ENDPOINT_FAILED if the state could not be read
   */
  async read (address: string, timeoutMs: number): Promise<EngineState> {
    try {
      const response = await request(`http://${address}/v1/orders`, { dispatcher: SMALL_RESPONSE_AGENT, reset: true, signal: AbortSignal.timeout(timeoutMs) })
      const { models, adapters, role } = OrdersResponse.parse(JSON.parse((await readBoundedBody(response.body, MAXIMUM_RESPONSE_BYTES)).toString()))
      const inState = (state: string): string[] => models.filter((entry) => entry.state === state).map((entry) => entry.model)
      return { loaded: inState('loaded'), loading: inState('loading'), adapters, role }
    } catch (error) {
      throw new MimosarockError(ResultCode.ENDPOINT_FAILED, `the state of ${address} could not be read`, { cause: error })
    }
  }

  /**
   * Sends an order to an engine.
   * @param order the order, with the address of the engine
   * @param fencingNumber offset of the lease claim under which the order is sent
   * @param timeoutMs timeout for the call, in milliseconds
   * @throws {MimosarockError} ORDER_REFUSED if the engine has seen a higher fencing number, else ORDER_NOT_CONFIRMED
   */
  async order (order: EngineOrder, fencingNumber: number, timeoutMs: number): Promise<void> {
    const body = JSON.stringify({ fencing_number: fencingNumber, models: order.models, adapters: order.adapters, role: order.role })
    const headers = { 'content-type': 'application/json' }
    const status = await this._put(order.address, body, headers, timeoutMs)
    if (status === HTTP_CONFLICT) throw new MimosarockError(ResultCode.ORDER_REFUSED, `${order.address} has seen a higher fencing number`)
    if (status !== 200) throw notConfirmedError(order.address, `status ${status}`)
  }

  private async _put (address: string, body: string, headers: Record<string, string>, timeoutMs: number): Promise<number> {
    try {
      const response = await request(`http://${address}/v1/orders`, { method: 'PUT', body, headers, dispatcher: SMALL_RESPONSE_AGENT, reset: true, signal: AbortSignal.timeout(timeoutMs) })
      await discardBody(response.body)
      return response.statusCode
    } catch (error) {
      throw notConfirmedError(address, error)
    }
  }
}

function notConfirmedError (address: string, cause: unknown): MimosarockError {
  return new MimosarockError(ResultCode.ORDER_NOT_CONFIRMED, `${address} did not confirm the order`, { run: RunState.UNKNOWN, cause })
}
