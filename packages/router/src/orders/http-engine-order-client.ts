import { request } from 'undici'
import { z } from 'zod'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { EngineOrder } from './engine-order.js'
import type { EngineOrderClient } from './engine-order-client.js'
import type { EngineState } from './engine-state.js'

const HTTP_CONFLICT = 409
const Answer = z.object({
  models: z.array(z.object({ model: z.string(), state: z.string() })),
  adapters: z.array(z.string()).default([]),
  role: z.string().default('mixed')
})

/** Talks to engines by `GET` and `PUT /v1/orders`. Each call has its own connection, so none meets a silent one. */
export class HttpEngineOrderClient implements EngineOrderClient {
  /**
   * Reads back what an engine holds.
   * @param address IP number and port
   * @param timeoutMs bound on the call, in milliseconds
   * @throws {MimosarockError} ENDPOINT_FAILED
   */
  async read (address: string, timeoutMs: number): Promise<EngineState> {
    try {
      const answer = await request(`http://${address}/v1/orders`, { reset: true, signal: AbortSignal.timeout(timeoutMs) })
      const { models, adapters, role } = Answer.parse(await answer.body.json())
      const inState = (state: string): string[] => models.filter((entry) => entry.state === state).map((entry) => entry.model)
      return { loaded: inState('loaded'), loading: inState('loading'), adapters, role }
    } catch (error) {
      throw new MimosarockError(ResultCode.ENDPOINT_FAILED, `the state of ${address} could not be read`, { cause: error })
    }
  }

  /**
   * Gives an order.
   * @param order the order
   * @param fencingNumber offset of the claim under which it is given
   * @param timeoutMs bound on the call, in milliseconds
   * @throws {MimosarockError} ORDER_REFUSED or ORDER_NOT_CONFIRMED
   */
  async order (order: EngineOrder, fencingNumber: number, timeoutMs: number): Promise<void> {
    const body = JSON.stringify({ fencing_number: fencingNumber, models: order.models, adapters: order.adapters, role: order.role })
    const headers = { 'content-type': 'application/json' }
    const status = await this._put(order.address, body, headers, timeoutMs)
    if (status === HTTP_CONFLICT) throw new MimosarockError(ResultCode.ORDER_REFUSED, `${order.address} has seen a higher fencing number`)
    if (status !== 200) throw notConfirmed(order.address, `status ${status}`)
  }

  private async _put (address: string, body: string, headers: Record<string, string>, timeoutMs: number): Promise<number> {
    try {
      const answer = await request(`http://${address}/v1/orders`, { method: 'PUT', body, headers, reset: true, signal: AbortSignal.timeout(timeoutMs) })
      await answer.body.dump()
      return answer.statusCode
    } catch (error) {
      throw notConfirmed(address, error)
    }
  }
}

function notConfirmed (address: string, cause: unknown): MimosarockError {
  return new MimosarockError(ResultCode.ORDER_NOT_CONFIRMED, `${address} did not confirm the order`, { run: RunState.UNKNOWN, cause })
}
