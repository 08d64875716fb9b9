import type { Pool } from 'undici'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { ChosenEndpoint } from '../choice/chosen-endpoint.js'
import { EndpointSelector } from '../choice/endpoint-selector.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import { isIdempotent } from '../model/is-idempotent.js'
import type { PromptPart } from '../model/prompt-part.js'
import { RouteKind } from '../model/route-kind.js'
import { SlotOutcome } from '../grants/slot-outcome.js'
import { mayRetry } from '../retries/may-retry.js'
import { CallOutcome } from '../sending/call-outcome.js'
import type { CallResult } from '../sending/call-result.js'
import { EndpointCall } from '../sending/endpoint-call.js'
import type { WatchedCall } from '../sending/watched-call.js'
import { AttemptRecords } from './attempt-records.js'
import type { AuthorizedRequest } from './authorized-request.js'
import { createCallError } from './create-call-error.js'
import { createDeadlineError } from './create-deadline-error.js'
import { createNoEndpointError } from './create-no-endpoint-error.js'
import type { EndpointAttemptsOptions } from './endpoint-attempts-options.js'
import { reportCallFailure } from './report-call-failure.js'
import type { RequestDependencies } from './request-dependencies.js'
import { requireNotEvacuated } from './require-not-evacuated.js'
import { requireNotQuarantined } from './require-not-quarantined.js'

/** Priority of urgent requests. */
const URGENT = 0
/** Minimum time left to call an endpoint; no response arrives in less. */
const MINIMUM_CALL_MS = 5
/** Minimum time left for which a call without progress is given up. */
const MINIMUM_RETRY_MS = 250
const FIRST_SERVER_ERROR_STATUS = 500
/** Number of endpoints that a request may have lost its connection to before they answered; it may be what ends them. */
const MAXIMUM_LOSSES_BEFORE_ANSWER = 2
/** The same for a request that is on trial after a quarantine. */
const MAXIMUM_LOSSES_OF_TRIAL = 1

/** Sends one request to endpoints, as often as its route and the retry budget allow, and relays the response. */
export class EndpointAttempts {
  private readonly _dependencies: RequestDependencies
  private readonly _options: EndpointAttemptsOptions
  private _isCallerDisconnected = false
  private readonly _mayRepeat: boolean
  private _call: EndpointCall | undefined
  private _chosen: ChosenEndpoint | undefined
  private _problem: string | undefined
  private _attempts = 0
  private _runs = 0
  private _hasTakenRetry = false
  private readonly _choosing = new AbortController()
  /** Whether the chosen endpoint had a rate limit when it was chosen, for which the request used a permit. */
  private _hasPermit = false
  private readonly _records: AttemptRecords

  /**
   * @param dependencies components of the router, shared by all requests
   * @param options the request and where its response goes
   */
  constructor (dependencies: RequestDependencies, options: EndpointAttemptsOptions) {
    this._dependencies = dependencies
    this._options = options
    this._records = new AttemptRecords(dependencies, options)
    this._mayRepeat = options.authorized.route.kind !== RouteKind.ONCE
  }

  /** Number of endpoints to which the request was sent. */
  get count (): number {
    return this._attempts
  }

  /** Endpoint chosen last; undefined if none was. */
  get chosen (): ChosenEndpoint | undefined {
    return this._chosen
  }

  /** Why the last attempt that failed did so; undefined if none failed. */
  get problem (): string | undefined {
    return this._problem
  }

  /**
   * Sends the request to one endpoint after another until one has answered it. Resolves when the response is complete.
   * @throws MimosarockError if no endpoint answers it, or the caller disconnects
   */
  async run (): Promise<void> {
    const { authorized } = this._options
    const excluded = new Set<string>()
    for (;;) {
      if (this._isCallerDisconnected) throw new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected')
      if (this._options.timeLeftMs() < MINIMUM_CALL_MS) throw createDeadlineError(this._runs)
      requireNotQuarantined(this._dependencies.quarantine, this._options.content, this._runs)
      const pending = this._choose(excluded)
      const chosen = pending instanceof Promise ? await this._chosenInTime(pending) : pending
      if (chosen === undefined && this._runs === 0) requireNotEvacuated(this._dependencies.endpoints, authorized.service)
      if (chosen === undefined) throw this._noEndpointError(authorized)
      // Another request may have used the permit while the owner of the slot was asked.
      if (pending instanceof Promise && !this._dependencies.permits.allows(chosen.endpoint)) {
        this._options.admission.endCall(SlotOutcome.UNUSED, undefined)
        excluded.add(chosen.endpoint.id)
        continue
      }
      this._chosen = chosen
      this._hasPermit = this._dependencies.permits.isLimited(chosen.endpoint)
      this._dependencies.permits.take(chosen.endpoint)
      excluded.add(chosen.endpoint.id)
      const result = await this._callEndpoint(chosen)
      if (result.outcome !== CallOutcome.COMPLETE) this._reportFailure(chosen, result)
      if (this._finishOrRetry(result)) return
    }
  }

  private _choose (excluded: ReadonlySet<string>): ChosenEndpoint | undefined | Promise<ChosenEndpoint | undefined> {
    const { currentHomes, routeTimes } = this._dependencies
    const { authorized, admission } = this._options
    const { service, route, priority } = authorized
    const mayRunAt = currentHomes.of(authorized)?.mayRunAt
    const needsWarm = !this._mayRepeat || priority === URGENT || routeTimes.isLong(service, route.name)
    const isShort = routeTimes.isShort(service, route.name)
    return admission.choose({ excluded, isShort, needsWarm, mayRunAt }, this._choosing.signal)
  }

  /** Waits for an endpoint that others choose. The deadline and the caller are not watched by a call meanwhile. */
  private async _chosenInTime (pending: Promise<ChosenEndpoint | undefined>): Promise<ChosenEndpoint | undefined> {
    let chosen: ChosenEndpoint | undefined
    try {
      chosen = await pending
    } catch (error) {
      if (this._options.timeLeftMs() < MINIMUM_CALL_MS) throw createDeadlineError(this._runs)
      // The refusal of a further attempt states that this one has not run, which may not be true of the request.
      throw this._runs === 0 ? error : createNoEndpointError(this._runs)
    }
    if (this._isCallerDisconnected) throw new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected')
    if (this._options.timeLeftMs() < MINIMUM_CALL_MS) throw createDeadlineError(this._runs)
    return chosen
  }

  private _noEndpointError (authorized: AuthorizedRequest): MimosarockError {
    const { currentHomes, endpoints, endpointSelector, permits } = this._dependencies
    const { service } = authorized
    const homes = currentHomes.of(authorized)
    const pauseMs = endpointSelector.pauseMs(service, homes?.mayRunAt)
    const ready = endpoints.ready(service)
    const intervalMs = permits.intervalMs(service, homes === undefined ? ready : ready.filter(homes.mayRunAt))
    return createNoEndpointError(this._runs, pauseMs > 0 ? pauseMs : intervalMs, homes)
  }

  private async _callEndpoint (chosen: ChosenEndpoint): Promise<CallResult> {
    const { endpoint } = chosen
    const { content } = this._options
    const { loads, quarantine, stallWatch } = this._dependencies
    const call = this._createCall(chosen)
    const watched = this._watchedCall(call, endpoint.id)
    this._call = call
    this._attempts += 1
    this._recordHolder(content.prompt, chosen)
    this._records.callBegun()
    loads.begin(endpoint.id)
    quarantine.beginCall(content)
    call.send(this._connectionsTo(endpoint))
    stallWatch.add(watched)
    const result = await call.result
    stallWatch.remove(watched)
    loads.end(endpoint.id)
    quarantine.endCall(content)
    this._records.callEnded(endpoint, result, { isPaused: call.isPaused, isCallerDisconnected: this._isCallerDisconnected })
    return result
  }

  private _createCall ({ endpoint, contextHolder }: ChosenEndpoint): EndpointCall {
    const { authorized, request, body, relay } = this._options
    const { codec, currentHomes, endpoints, endpointSelector, readPacer, warmUps } = this._dependencies
    const hadPermit = this._hasPermit
    const headers = codec.writeDispatchHeaders(request.rawHeaders, {
      endpointId: endpoint.id,
      deadlineMs: Math.floor(this._options.timeLeftMs()),
      workspace: authorized.workspace,
      priority: authorized.priority,
      contextHolder: contextHolder?.address,
      lastEventId: relay.lastEventId
    })
    const { caller: { id }, route } = authorized
    const callRequest = { id, method: request.method ?? 'GET', path: request.url ?? '/', headers, body, isIdempotent: isIdempotent(route) }
    return new EndpointCall(callRequest, codec, relay, {
      readPacer,
      mayStart: () => {
        const isHeldBack = endpoints.isEvacuated(endpoint) || currentHomes.of(authorized)?.mayRunAt(endpoint) === false
        if (isHeldBack) this._records.callHeldBack()
        // The endpoint may have become cold while the request waited for a connection.
        return !isHeldBack && endpointSelector.isUsable(endpoint) && (hadPermit || !warmUps.isCold(endpoint))
      },
      headReceived: (head) => this._records.headReceived(endpoint, head)
    })
  }

  private _watchedCall (call: EndpointCall, endpointId: string): WatchedCall {
    const { relay } = this._options
    return {
      endpointId,
      get isPaused () { return call.isPaused || call.isDelayed },
      get receivedParts () { return call.receivedParts },
      get usableBytes () { return relay.usableBytes },
      onStalled: (isEndpointSilent) => this._giveUpIfRetriable(call, isEndpointSilent)
    }
  }

  private _connectionsTo (endpoint: EndpointEntry): Pool {
    const { connections, maximumConnectionsOf } = this._dependencies
    const { service } = this._options.authorized
    return connections.pool(endpoint, this._mayRepeat, maximumConnectionsOf(service))
  }

  private _reportFailure (chosen: ChosenEndpoint, result: CallResult): void {
    const { authorized: { caller, service, route }, content, relay } = this._options
    this._problem = `${result.outcome}: ${result.problem}`
    reportCallFailure(this._dependencies, {
      requestId: caller.id, route: route.name, service, content, chosen, result, hasBegun: relay.isStarted
    })
  }

  /** Gives up a call that makes no progress, if the request can go on elsewhere. Otherwise waiting is all that is left. */
  private _giveUpIfRetriable (call: EndpointCall, isEndpointSilent: boolean): void {
    const { authorized: { route, service }, relay } = this._options
    const outcome = call.receivedParts > 0 ? CallOutcome.BROKEN : CallOutcome.NO_ANSWER
    const attempts = { total: this._attempts, runs: this._runs + 1 }
    if (this._options.timeLeftMs() < MINIMUM_RETRY_MS || !mayRetry(route, outcome, attempts, relay)) return
    if (!this._dependencies.retryBudgetOf(service).take()) return
    this._hasTakenRetry = true
    call.giveUp(isEndpointSilent ? 'the endpoint is silent' : 'no progress')
  }

  private _recordHolder (prompt: readonly PromptPart[], { endpoint, isChosenAsPrimary }: ChosenEndpoint): void {
    const { holders, isFleetLarge } = this._dependencies
    const key = EndpointSelector.keyOf(prompt)
    if (key === undefined) return
    // Every router can compute the primary of a key. To limit traffic, a large fleet announces only contexts that are held by
    // other endpoints.
    if (isChosenAsPrimary && isFleetLarge()) holders.learn(key, endpoint.id)
    else holders.add(key, endpoint.id)
  }

  /** Finishes the response, or prepares a retry. Returns false if the request is to be sent to another endpoint. */
  private _finishOrRetry (result: CallResult): boolean {
    const { authorized, relay } = this._options
    const { outcome, head } = result
    const isNotRun = outcome === CallOutcome.NOT_SENT || outcome === CallOutcome.REJECTED
    if (!isNotRun) this._runs += 1
    const isFailure = outcome !== CallOutcome.COMPLETE ||
      (head !== undefined && head.status >= FIRST_SERVER_ERROR_STATUS && !relay.isStarted && authorized.route.kind === RouteKind.IDEMPOTENT)
    if (isFailure && this._takeRetry(outcome)) {
      this._dependencies.metrics.retries.inc({ service: authorized.service, outcome })
      if (outcome === CallOutcome.COMPLETE) relay.keepBufferedResponse()
      relay.prepareResumption()
      return false
    }
    if (outcome === CallOutcome.COMPLETE) {
      relay.finish()
      return true
    }
    if (this._isCallerDisconnected) throw new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected')
    throw createCallError(result, this._runs)
  }

  private _takeRetry (outcome: CallOutcome): boolean {
    const { authorized, relay } = this._options
    if (this._isCallerDisconnected) return false
    if (this._hasTakenRetry) {
      this._hasTakenRetry = false
      return true
    }
    if (this._records.lossesBeforeAnswer >= this._maximumLosses) return false
    const attempts = { total: this._attempts, runs: this._runs }
    if (!mayRetry(authorized.route, outcome, attempts, relay)) return false
    return outcome === CallOutcome.NOT_SENT || this._dependencies.retryBudgetOf(authorized.service).take()
  }

  private get _maximumLosses (): number {
    return this._dependencies.quarantine.includes(this._options.content) ? MAXIMUM_LOSSES_OF_TRIAL : MAXIMUM_LOSSES_BEFORE_ANSWER
  }

  /** Resumes the endpoint's response after the caller has caught up. */
  resume (): void {
    this._options.relay.resumed()
    this._call?.resume()
  }

  /** Gives up the attempt in progress, since there is no memory for the rest of an event of its response. */
  giveUpForMemory (): void {
    this._options.relay.prepareResumption()
    this._call?.giveUp('there is no memory for the rest of an event')
  }

  /** Ends the attempt in progress because the time of the request is over. */
  endAtDeadline (): void {
    this._choosing.abort()
    this._call?.abort('the deadline passed')
  }

  /** Ends the attempt in progress because the caller has disconnected, unless the call may run at most once. */
  endForCaller (): void {
    this._isCallerDisconnected = true
    this._choosing.abort()
    // Aborting a call that may run at most once would not undo its effects.
    if (this._mayRepeat || this._call?.isSent === false) this._call?.abort('the caller disconnected')
  }
}
