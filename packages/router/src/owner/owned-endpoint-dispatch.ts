import { discardBody } from '@mimosarock/coordination/http/discard-body.js'
import type { AdmissionTicket } from '@mimosarock/placement/admission-ticket.js'
import { EndpointAvailability } from '@mimosarock/placement/endpoint-availability.js'
import { PoolKind } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import type { Endpoint, Pool } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { DispatchResponse } from '../forward/dispatch-response.js'
import type { DispatchCall } from '../forward/dispatch-call.js'
import type { EndpointDispatch } from '../forward/endpoint-dispatch.js'
import type { HttpResponse } from '../http/http-response.js'
import type { OwnedEndpointDispatchOptions } from './owned-endpoint-dispatch-options.js'

/** Status codes with which an engine refuses a request without executing it. */
const ENGINE_REFUSALS = new Set([429, 503])
const SERVER_ERROR = 500
const CANCEL_TIMEOUT_MS = 1_000

/** Dispatches calls to the endpoints that this router owns, after the checks of availability and admission. */
export class OwnedEndpointDispatch implements EndpointDispatch {
  private readonly _options: OwnedEndpointDispatchOptions

  /**
   * @param options admission, endpoint clients and other dependencies, and the timeouts
   */
  constructor (options: OwnedEndpointDispatchOptions) {
    this._options = options
  }

  /**
   * Sends the call to its endpoint and resolves when the head of the response has arrived.
   * @param call call with the pool and the endpoint, which this router must own
   * @param signal aborts the call
   * @throws {MimosarockError} see EndpointDispatch
   */
  async dispatch (call: DispatchCall, signal: AbortSignal): Promise<DispatchResponse> {
    const { pool, endpoint } = this._find(call)
    this._checkAvailability(call)
    const ticket = call.resumeFrom === undefined ? await this._options.admission.admit(call, signal) : undefined
    try {
      const response = await this._send(call, pool, endpoint, signal)
      return {
        status: response.status,
        headers: response.headers,
        body: this._trackBody(call, response, ticket),
        endpoint: call.endpoint
      }
    } catch (error) {
      ticket?.release()
      this._recordError(call, error, signal)
      throw error
    }
  }

  /**
   * Cancels the call's stream at its engine. Never throws.
   * @param call the call that opened the stream
   */
  async cancel (call: DispatchCall): Promise<void> {
    try {
      const { endpoint } = this._find(call)
      const response = await this._options.clients.get(endpoint.address).send({
        method: 'DELETE',
        path: `/v1/streams/${encodeURIComponent(call.requestId)}`,
        headers: {},
        body: undefined,
        firstByteTimeoutMs: CANCEL_TIMEOUT_MS,
        silenceTimeoutMs: CANCEL_TIMEOUT_MS
      }, AbortSignal.timeout(CANCEL_TIMEOUT_MS))
      await discardBody(response.body)
    } catch {
      // The engine ends the stream when its resume window expires.
    }
  }

  private _find (call: DispatchCall): { pool: Pool, endpoint: Endpoint } {
    const pool = this._options.configuration.current()?.pools.get(call.pool)
    const endpoint = pool?.endpoints.find((candidate) => candidate.name === call.endpoint)
    if (pool === undefined || endpoint === undefined) {
      throw new MimosarockError(ResultCode.NO_ENDPOINT, `pool ${call.pool} has no endpoint ${call.endpoint}`)
    }
    return { pool, endpoint }
  }

  private _checkAvailability (call: DispatchCall): void {
    if (call.resumeFrom !== undefined) return
    const availability = this._options.health.availability(call.pool, call.endpoint)
    if (availability === EndpointAvailability.LEAVING) {
      throw new MimosarockError(ResultCode.ENDPOINT_LEAVING, `endpoint ${call.endpoint} is leaving`)
    }
    if (availability === EndpointAvailability.FAILED) {
      throw new MimosarockError(ResultCode.CIRCUIT_OPEN, `endpoint ${call.endpoint} is unavailable: its health probes fail or its circuit is open`)
    }
  }

  private async _send (call: DispatchCall, pool: Pool, endpoint: Endpoint, signal: AbortSignal): Promise<HttpResponse> {
    const response = await this._options.clients.get(endpoint.address).send({
      method: call.method,
      path: call.path,
      headers: call.headers,
      body: call.body,
      firstByteTimeoutMs: Math.min(call.streamed === true ? this._options.headTimeoutMs : this._options.firstByteTimeoutMs, call.remainingMs),
      silenceTimeoutMs: pool.silenceMs > 0 ? pool.silenceMs : this._options.silenceTimeoutMs,
      ownConnection: call.ownConnection === true
    }, signal)
    if (pool.kind !== PoolKind.SERVICE && ENGINE_REFUSALS.has(response.status)) {
      await discardBody(response.body)
      throw new MimosarockError(ResultCode.OVERLOADED, `engine ${call.endpoint} refused with status ${response.status}`)
    }
    return response
  }

  /** Passes the body through, records the outcome for the endpoint's health and releases the ticket in every case. */
  private async * _trackBody (call: DispatchCall, response: HttpResponse, ticket: AdmissionTicket | undefined): AsyncGenerator<Uint8Array> {
    try {
      for await (const chunk of response.body) {
        ticket?.recordFirstByte()
        yield chunk
      }
      if (response.status < SERVER_ERROR) this._options.health.recordSuccess(call.pool, call.endpoint)
      else this._options.health.recordFailure(call.pool, call.endpoint)
    } catch (error) {
      this._recordError(call, error, undefined)
      throw error
    } finally {
      ticket?.release()
    }
  }

  private _recordError (call: DispatchCall, error: unknown, signal: AbortSignal | undefined): void {
    if (signal?.aborted === true || !(error instanceof MimosarockError)) return
    if (error.code === ResultCode.ENDPOINT_SILENT) this._options.health.recordTimeout(call.pool, call.endpoint)
    if (error.code === ResultCode.ENDPOINT_FAILED && error.run !== RunState.RAN) this._options.health.recordFailure(call.pool, call.endpoint)
  }
}
