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
 * Admits calls at the endpoints that this router owns, up to each pool's load bound. A chat whose context is known to
 * be at another endpoint is redirected to it. A chat whose context is at the requested endpoint may wait in its queue
 * for up to the pool's `contextWaitMs`.
 */
export class EndpointAdmissions implements CallAdmission {
  private readonly _options: EndpointAdmissionsOptions
  private readonly _pools = new Map<string, PoolAdmissions>()

  /**
   * @param options dependencies and limits
   */
  constructor (options: EndpointAdmissionsOptions) {
    this._options = options
    options.configuration.onChange(() => this.update())
  }

  /** Admission state of each configured pool, by pool name. */
  get pools (): ReadonlyMap<string, PoolAdmissions> {
    return this._pools
  }

  /** Applies the current configuration and the current owners of its endpoints. */
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
   * Returns the admission state of an endpoint with the requests that this router has in flight and queued there;
   * undefined for an unknown pool.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  admissionOf (pool: string, endpoint: string): EndpointAdmission | undefined {
    return this._pools.get(pool)?.admissionOf(endpoint)
  }

  /**
   * Returns the contexts that an endpoint is presumed to hold; undefined for an unknown pool.
   * @param pool name of the pool
   * @param endpoint name of the endpoint
   */
  heldContextsOf (pool: string, endpoint: string): HeldContexts | undefined {
    return this._pools.get(pool)?.heldContextsOf(endpoint)
  }

  /**
   * Admits a call at its endpoint.
   * @param call call with its endpoint, load and deadline; its `waitMs` is the upper bound on the time in the queue,
   * unless the endpoint holds its context and the pool allows a longer wait
   * @param signal cancels the wait
   * @throws {MimosarockError} see CallAdmission
   */
  async admit (call: DispatchCall, signal: AbortSignal): Promise<AdmissionTicket> {
    const admissions = this._pools.get(call.pool)
    if (admissions === undefined) throw new MimosarockError(ResultCode.NO_ENDPOINT, `pool ${call.pool} is not configured`)
    this._redirectToHolder(call)
    const heldContexts = admissions.heldContextsOf(call.endpoint)
    const hasContext = call.affinityKey !== '' && this._holdsContext(heldContexts, call)
    const waitMs = hasContext ? Math.max(call.waitMs, admissions.pool.contextWaitMs) : call.waitMs
    const ticket = await this._admit(admissions, call, waitMs, hasContext, signal)
    if (call.affinityKey === '') return ticket
    this._updateDisplacement(call)
    if (!hasContext && admissions.pool.carryContext) await this._transferContext(admissions, call, signal)
    return this._recordContextOnRelease(ticket, heldContexts, call)
  }

  /**
   * Returns whether the endpoint holds the call's context. Cache events arrive with a delay, so a recent response
   * counts although no event has confirmed it yet. A context known from events counts only if no later event was
   * missed.
   */
  private _holdsContext (heldContexts: HeldContexts, call: DispatchCall): boolean {
    const known = this._options.cacheOf(call.pool, call.endpoint)?.get(call.affinityKey)
    return known?.certain === true || heldContexts.tokensOf(call.affinityKey) !== undefined
  }

  /** Refuses the first attempt of a displaced chat with a redirect to the endpoint that holds its context. */
  private _redirectToHolder (call: DispatchCall): void {
    if (call.attempt > 0 || call.affinityKey === '') return
    const holder = this._options.displacedChats.endpointOf(displacedKey(call.pool, call.affinityKey))
    if (holder === undefined || holder === call.endpoint) return
    throw new MimosarockError(ResultCode.CONTEXT_ELSEWHERE, `the chat's context is at endpoint ${holder}`, { field: holder })
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
      // Names this endpoint as holder so that the endpoint that admits the chat can import its context from here.
      throw new MimosarockError(error.code, error.message, { retryAfterMs: error.retryAfterMs ?? 0, field: call.endpoint })
    }
  }

  /**
   * Refreshes the directory entry of a chat that runs where the directory expects it, and removes the entry of a chat
   * that runs elsewhere, since the recorded endpoint no longer has the chat's latest context.
   */
  private _updateDisplacement (call: DispatchCall): void {
    const key = displacedKey(call.pool, call.affinityKey)
    const known = this._options.displacedChats.endpointOf(key)
    if (known === undefined) return
    if (known === call.endpoint) this._options.displacedChats.record(key, known)
    else this._options.displacedChats.delete(key)
  }

  private async _transferContext (admissions: PoolAdmissions, call: DispatchCall, signal: AbortSignal): Promise<void> {
    if (call.contextHolder === undefined || call.contextHolder === call.endpoint) return
    const addressOf = (name: string): string | undefined => admissions.pool.endpoints.find((endpoint) => endpoint.name === name)?.address
    const source = addressOf(call.contextHolder)
    const target = addressOf(call.endpoint)
    if (source === undefined || target === undefined) return
    await this._options.contextTransfers.transfer(call.affinityKey, call.promptTokens, source, target, signal)
  }

  /** Wraps a ticket so that its release records the context as held by the endpoint, if the endpoint has answered. */
  private _recordContextOnRelease (ticket: AdmissionTicket, heldContexts: HeldContexts, call: DispatchCall): AdmissionTicket {
    let answered = false
    return {
      recordFirstByte: () => {
        answered = true
        ticket.recordFirstByte()
      },
      release: () => {
        if (answered) heldContexts.recordContext(call.affinityKey, call.promptTokens)
        ticket.release()
      }
    }
  }
}
