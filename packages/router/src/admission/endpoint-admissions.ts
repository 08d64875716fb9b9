import type { AdmissionTicket } from '@mimosarock/placement/admission-ticket.js'
import type { EndpointAdmission } from '@mimosarock/placement/endpoint-admission.js'
import type { HeldContexts } from '@mimosarock/placement/held-contexts.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { DispatchCall } from '../forward/dispatch-call.js'
import type { CallAdmission } from './call-admission.js'
import { displacedKey } from '../contexts/displaced-key.js'
import type { EndpointAdmissionsOptions } from './endpoint-admissions-options.js'
import { PoolAdmissions } from './pool-admissions.js'

/**
 * Admits calls at the endpoints that this router owns, within each pool's bound. A chat that is known to lie
 * elsewhere is sent there; one whose context is here may wait a little for room.
 */
export class EndpointAdmissions implements CallAdmission {
  private readonly _options: EndpointAdmissionsOptions
  private readonly _pools = new Map<string, PoolAdmissions>()

  /**
   * @param options what it works with
   */
  constructor (options: EndpointAdmissionsOptions) {
    this._options = options
    options.configuration.onChange(() => this.update())
  }

  /** Admission of each pool. */
  get pools (): ReadonlyMap<string, PoolAdmissions> {
    return this._pools
  }

  /** Takes a change of the configuration or of the live routers. */
  update (): void {
    const index = this._options.configuration.current()
    if (index === undefined) return
    for (const name of this._pools.keys()) {
      if (!index.pools.has(name)) this._pools.delete(name)
    }
    for (const pool of index.pools.values()) {
      const known = this._pools.get(pool.name) ?? new PoolAdmissions(pool, this._options)
      this._pools.set(pool.name, known)
      known.update(pool)
    }
  }

  /**
   * Requests in flight and waiting at an endpoint, as this router counts them.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  admissionOf (pool: string, endpoint: string): EndpointAdmission | undefined {
    return this._pools.get(pool)?.admissionOf(endpoint)
  }

  /**
   * Contexts that an endpoint is believed to hold; undefined for an unknown pool.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  heldAt (pool: string, endpoint: string): HeldContexts | undefined {
    return this._pools.get(pool)?.heldAt(endpoint)
  }

  /**
   * Admits a call.
   * @param call the call; its waitMs bounds the wait, unless its context is here and the pool allows longer
   * @param signal ends the wait
   * @throws {MimosarockError} see CallAdmission
   */
  async admit (call: DispatchCall, signal: AbortSignal): Promise<AdmissionTicket> {
    const admissions = this._pools.get(call.pool)
    if (admissions === undefined) throw new MimosarockError(ResultCode.NO_ENDPOINT, `pool ${call.pool} is not configured`)
    this._redirect(call)
    const held = admissions.heldAt(call.endpoint)
    const hasContext = call.affinityKey !== '' && this._holdsContext(held, call)
    const waitMs = hasContext ? Math.max(call.waitMs, admissions.pool.contextWaitMs) : call.waitMs
    const ticket = await this._admit(admissions, call, waitMs, hasContext, signal)
    if (call.affinityKey === '') return ticket
    this._noteLanding(call)
    if (!hasContext && admissions.pool.carryContext) await this._carry(admissions, call, signal)
    return this._rememberContext(ticket, held, call)
  }

  /**
   * Cache events are late, so an answer of the last seconds counts although no event names it yet; what the
   * events have shown and what they have lost counts only as far as they are certain.
   */
  private _holdsContext (held: HeldContexts, call: DispatchCall): boolean {
    const known = this._options.cacheOf(call.pool, call.endpoint)?.get(call.affinityKey)
    return known?.certain === true || held.tokensOf(call.affinityKey) !== undefined
  }

  /** Sends a chat's first try to the endpoint that its displaced context lies at. */
  private _redirect (call: DispatchCall): void {
    if (call.attempt > 0 || call.affinityKey === '') return
    const elsewhere = this._options.displaced.endpointOf(displacedKey(call.pool, call.affinityKey))
    if (elsewhere === undefined || elsewhere === call.endpoint) return
    throw new MimosarockError(ResultCode.CONTEXT_ELSEWHERE, `the chat's context is at endpoint ${elsewhere}`, { field: elsewhere })
  }

  private async _admit (
    admissions: PoolAdmissions, call: DispatchCall, waitMs: number, hasContext: boolean, signal: AbortSignal
  ): Promise<AdmissionTicket> {
    const workspace = this._options.configuration.current()?.workspaces.get(call.workspace)
    const request = {
      workspace: call.workspace,
      priority: workspace?.priority ?? 0,
      weight: workspace?.weight ?? 1,
      load: call.load,
      hasContext,
      remainingMs: call.remainingMs
    }
    try {
      return await admissions.admissionOf(call.endpoint).admit(request, waitMs, signal)
    } catch (error) {
      if (!hasContext || !(error instanceof MimosarockError) || error.code !== ResultCode.ENDPOINT_OVER_BOUND) throw error
      // Names the holder, so that whoever takes the chat may fetch its context from here.
      throw new MimosarockError(error.code, error.message, { retryAfterMs: error.retryAfterMs ?? 0, field: call.endpoint })
    }
  }

  /** A chat that runs somewhere else than the directory says has no context there that is worth a redirect. */
  private _noteLanding (call: DispatchCall): void {
    const key = displacedKey(call.pool, call.affinityKey)
    const known = this._options.displaced.endpointOf(key)
    if (known === undefined) return
    if (known === call.endpoint) this._options.displaced.record(key, known)
    else this._options.displaced.delete(key)
  }

  private async _carry (admissions: PoolAdmissions, call: DispatchCall, signal: AbortSignal): Promise<void> {
    if (call.contextHolder === undefined || call.contextHolder === call.endpoint) return
    const addressOf = (name: string): string | undefined => admissions.pool.endpoints.find((endpoint) => endpoint.name === name)?.address
    const source = addressOf(call.contextHolder)
    const target = addressOf(call.endpoint)
    if (source === undefined || target === undefined) return
    await this._options.carrier.carry(call.affinityKey, call.promptTokens, source, target, signal)
  }

  /** The engine keeps the context once the answer is through. */
  private _rememberContext (ticket: AdmissionTicket, held: HeldContexts, call: DispatchCall): AdmissionTicket {
    let answered = false
    return {
      recordFirstByte: () => {
        answered = true
        ticket.recordFirstByte()
      },
      release: () => {
        if (answered) held.recordContext(call.affinityKey, call.promptTokens)
        ticket.release()
      }
    }
  }
}
