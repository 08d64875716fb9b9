import type { IncomingMessage, ServerResponse } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { ServiceAdmission } from '../admission/service-admission.js'
import { ResponseRelay } from '../responses/response-relay.js'
import { sendErrorResponse } from '../responses/send-error-response.js'
import type { ChosenEndpoint } from '../choice/chosen-endpoint.js'
import { EndpointSelector } from '../choice/endpoint-selector.js'
import type { PromptPart } from '../model/prompt-part.js'
import { RouteKind } from '../model/route-kind.js'
import { mayRetry } from '../retries/may-retry.js'
import { CallOutcome } from '../sending/call-outcome.js'
import type { CallResult } from '../sending/call-result.js'
import { EndpointCall } from '../sending/endpoint-call.js'
import { authorizeRequest } from './authorize-request.js'
import type { AuthorizedRequest } from './authorized-request.js'
import { createCallError } from './create-call-error.js'
import { createDeadlineError } from './create-deadline-error.js'
import { createNoEndpointError } from './create-no-endpoint-error.js'
import { nextEventLoopIteration } from './next-event-loop-iteration.js'
import { notRunError } from './not-run-error.js'
import { readRequestBody } from './read-request-body.js'
import { reportRequest } from './report-request.js'
import type { RequestDependencies } from './request-dependencies.js'

/** Maximum body length if the configuration sets none. */
const DEFAULT_MAXIMUM_BODY_BYTES = 4_194_304
/** Subtracted from the time limit of a request, which leaves time for the router's own response to reach the caller. */
const RESPONSE_MARGIN_MS = 15
/** Minimum time left to call an endpoint; no response arrives in less. */
const MINIMUM_CALL_MS = 5
/** Minimum time left for which a call without progress is given up. */
const MINIMUM_RETRY_MS = 250
/** Time after the head of a request arrived, from which it is authorized again before it is sent. */
const AUTHORIZATION_LIFETIME_MS = 1_000
const FIRST_SERVER_ERROR_STATUS = 500
const MS_PER_SECOND = 1_000

/**
 * Serves one request of a caller, from its head to the end of its response: authorization, admission, choice of an
 * endpoint, retries and error responses.
 */
export class RequestTask {
  private readonly _dependencies: RequestDependencies
  private readonly _request: IncomingMessage
  private readonly _response: ServerResponse
  private readonly _startedAt: number
  private _requestId: string | undefined
  private _isCallerDisconnected = false
  private _mayRepeat = true
  private _call: EndpointCall | undefined
  private _relay: ResponseRelay | undefined
  private _chosen: ChosenEndpoint | undefined
  private _problem: string | undefined
  private _admissionWait: AbortController | undefined
  private _admittedAt = 0
  private _waitedMs = 0
  private _firstByteMs: number | undefined
  private _attempts = 0
  private _runs = 0
  private _hasTakenRetry = false

  /**
   * @param dependencies components of the router, shared by all requests
   * @param request request of the caller
   * @param response response to the caller
   */
  constructor (dependencies: RequestDependencies, request: IncomingMessage, response: ServerResponse) {
    this._dependencies = dependencies
    this._request = request
    this._response = response
    this._startedAt = dependencies.clock.now()
  }

  /** Serves the request. Failures are reported to the caller and logged; they do not reject the promise. */
  async run (): Promise<void> {
    this._dependencies.state.requestsInFlight += 1
    this._dependencies.eventLoopMeter.recordArrival()
    this._response.on('close', () => this._onClose())
    this._response.on('drain', () => this._call?.resume())
    let authorized: AuthorizedRequest | undefined
    let admission: ServiceAdmission | undefined
    let code: ResultCode = ResultCode.OK
    try {
      if (!this._dependencies.startupGate.isOpen) await this._dependencies.startupGate.waitUntilOpen()
      authorized = this._authorize()
      const body = await readRequestBody(this._request, this._maximumBodyBytes())
      admission = await this._waitForAdmission(authorized)
      this._authorizeAgainAfterDelay()
      await this._serve(authorized, body)
    } catch (error) {
      code = this._handleError(error as Error)
    }
    admission?.release(this._dependencies.clock.now() - this._admittedAt)
    this._dependencies.state.requestsInFlight -= 1
    this._report(authorized, code)
  }

  private _authorize (): AuthorizedRequest {
    const { codec, configuration, keyAgeLimitMs } = this._dependencies
    const { rawHeaders, headers, url } = this._request
    const caller = codec.readCallerRequest(rawHeaders)
    if (caller === undefined) throw new MimosarockError(ResultCode.INVALID_REQUEST, 'the request has no request id')
    this._requestId = caller.id
    const limits = configuration.inForce?.configuration.limits
    if (limits !== undefined && headBytes(rawHeaders) > limits.headerBytes) {
      throw new MimosarockError(ResultCode.HEADERS_TOO_LARGE, `the request headers exceed ${limits.headerBytes} bytes`)
    }
    const authorized = authorizeRequest(caller, headers.host ?? '', url ?? '', configuration, keyAgeLimitMs())
    this._requireTimeBeforeStop(authorized)
    return authorized
  }

  /**
   * Authorizes a request again that was delayed: a long body, a queue, or a pause of the process may have outlasted what the API
   * keys were known by.
   */
  private _authorizeAgainAfterDelay (): void {
    if (this._dependencies.clock.now() - this._startedAt >= AUTHORIZATION_LIFETIME_MS) this._authorize()
  }

  private _requireTimeBeforeStop (authorized: AuthorizedRequest): void {
    const { stopDeadline } = this._dependencies.state
    if (stopDeadline === undefined || performance.now() + this._timeLeftMs(authorized) <= stopDeadline) return
    throw notRunError(ResultCode.ROUTER_STOPPING, 'the router is stopping and cannot finish the request in time', 0)
  }

  /** Admits the request to its service; queues it while the service has no capacity. */
  private async _waitForAdmission (authorized: AuthorizedRequest): Promise<ServiceAdmission> {
    const { admissions, clock } = this._dependencies
    // The caller may have disconnected before its request was read; the disconnect is read in the next iteration.
    await nextEventLoopIteration()
    if (this._isCallerDisconnected || this._request.socket.readableEnded) throw new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected')
    const request = {
      workspace: authorized.workspace,
      rank: authorized.priority,
      routeRank: authorized.route.priority,
      objectiveMs: authorized.route.objectiveMs,
      timeLeftMs: this._timeLeftMs(authorized)
    }
    const admission = admissions.get(authorized.service)
    this._admittedAt = clock.now()
    if (admission.tryAdmit(request)) return admission
    this._admissionWait = new AbortController()
    const queuedAt = this._admittedAt
    try {
      await admission.wait(request, this._admissionWait.signal)
      return admission
    } finally {
      this._admittedAt = clock.now()
      this._waitedMs = this._admittedAt - queuedAt
    }
  }

  private async _serve (authorized: AuthorizedRequest, body: Buffer): Promise<void> {
    const { route } = authorized
    this._dependencies.retryBudgetOf(authorized.service).countRequest()
    const relay = new ResponseRelay({
      response: this._response,
      isStream: route.kind === RouteKind.STREAM,
      isResumable: route.kind === RouteKind.STREAM && route.isResumable,
      closesConnection: () => this._dependencies.state.isStopping,
      onStart: () => this._observeFirstByte(route.name)
    })
    this._relay = relay
    const timer = setTimeout(() => this._call?.abort('the deadline passed'), Math.max(0, this._timeLeftMs(authorized)))
    try {
      await this._tryEndpoints(authorized, body, relay)
    } catch (error) {
      if (!relay.hasBufferedResponse || this._isCallerDisconnected) throw error
      relay.finish()
    } finally {
      clearTimeout(timer)
    }
  }

  private async _tryEndpoints (authorized: AuthorizedRequest, body: Buffer, relay: ResponseRelay): Promise<void> {
    const excluded = new Set<string>()
    for (;;) {
      if (this._isCallerDisconnected) throw new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected')
      if (this._timeLeftMs(authorized) < MINIMUM_CALL_MS) throw createDeadlineError(this._runs)
      const chosen = this._dependencies.endpointSelector.choose(authorized.service, authorized.caller.prompt, excluded)
      if (chosen === undefined) throw createNoEndpointError(this._runs)
      this._chosen = chosen
      excluded.add(chosen.endpoint.id)
      const result = await this._callEndpoint(authorized, body, relay, chosen)
      if (result.outcome !== CallOutcome.COMPLETE) this._problem = `${result.outcome}: ${result.problem}`
      if (this._finishOrRetry(authorized, result, relay)) return
    }
  }

  private async _callEndpoint (
    authorized: AuthorizedRequest, body: Buffer, relay: ResponseRelay, chosen: ChosenEndpoint
  ): Promise<CallResult> {
    const { caller, service, route } = authorized
    const { endpoint, contextHolder } = chosen
    const headers = this._dependencies.codec.writeDispatchHeaders(this._request.rawHeaders, {
      endpointId: endpoint.id,
      deadlineMs: Math.floor(this._timeLeftMs(authorized)),
      workspace: authorized.workspace,
      priority: authorized.priority,
      contextHolder: contextHolder?.address,
      lastEventId: relay.lastEventId
    })
    const call = new EndpointCall({
      id: caller.id, method: this._request.method ?? 'GET', path: this._request.url ?? '/', headers, body
    }, this._dependencies.codec, relay)
    this._call = call
    this._attempts += 1
    this._recordHolder(caller.prompt, chosen)
    this._dependencies.loads.begin(endpoint.id)
    this._mayRepeat = route.kind !== RouteKind.ONCE
    call.send(this._dependencies.connections.pool(endpoint, this._mayRepeat, this._dependencies.maximumConnectionsOf(service)))
    const watched = {
      endpointId: endpoint.id,
      get isPaused () { return call.isPaused },
      get receivedParts () { return call.receivedParts },
      get usableBytes () { return relay.usableBytes },
      onStalled: (isEndpointSilent: boolean) => this._giveUpIfRetriable(authorized, call, relay, isEndpointSilent)
    }
    this._dependencies.stallWatch.add(watched)
    const result = await call.result
    this._dependencies.stallWatch.remove(watched)
    this._dependencies.loads.end(endpoint.id)
    this._recordHealth(endpoint.id, result)
    return result
  }

  /** Gives up a call that makes no progress, if the request can go on elsewhere. Otherwise waiting is all that is left. */
  private _giveUpIfRetriable (authorized: AuthorizedRequest, call: EndpointCall, relay: ResponseRelay, isEndpointSilent: boolean): void {
    const { route, service } = authorized
    const outcome = call.receivedParts > 0 ? CallOutcome.BROKEN : CallOutcome.NO_ANSWER
    const attempts = { total: this._attempts, runs: this._runs + 1 }
    if (this._timeLeftMs(authorized) < MINIMUM_RETRY_MS || !mayRetry(route, outcome, attempts, relay.isStarted)) return
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
  private _finishOrRetry (authorized: AuthorizedRequest, result: CallResult, relay: ResponseRelay): boolean {
    const { outcome, head } = result
    const isNotRun = outcome === CallOutcome.NOT_SENT || outcome === CallOutcome.REJECTED
    if (!isNotRun) this._runs += 1
    const isFailure = outcome !== CallOutcome.COMPLETE ||
      (head !== undefined && head.status >= FIRST_SERVER_ERROR_STATUS && !relay.isStarted && authorized.route.kind === RouteKind.IDEMPOTENT)
    if (isFailure && this._takeRetry(authorized, outcome, relay)) {
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

  private _takeRetry (authorized: AuthorizedRequest, outcome: CallOutcome, relay: ResponseRelay): boolean {
    if (this._isCallerDisconnected) return false
    if (this._hasTakenRetry) {
      this._hasTakenRetry = false
      return true
    }
    const attempts = { total: this._attempts, runs: this._runs }
    if (!mayRetry(authorized.route, outcome, attempts, relay.isStarted)) return false
    return outcome === CallOutcome.NOT_SENT || this._dependencies.retryBudgetOf(authorized.service).take()
  }

  private _recordHealth (endpointId: string, { outcome }: CallResult): void {
    const { health, stallWatch } = this._dependencies
    if (outcome === CallOutcome.COMPLETE) return health.recordSuccess(endpointId)
    if (outcome === CallOutcome.REJECTED) return
    const isSilent = stallWatch.isSilent(endpointId)
    if (outcome === CallOutcome.ABORTED && !isSilent) return
    health.recordFailure(endpointId, isSilent || outcome === CallOutcome.NOT_SENT)
  }

  /** Milliseconds until the caller's deadline or the route's timeout, whichever is earlier, less the response margin. */
  private _timeLeftMs (authorized: AuthorizedRequest): number {
    const limit = Math.min(authorized.caller.deadlineMs ?? Infinity, authorized.route.timeoutMs)
    return this._startedAt + limit - RESPONSE_MARGIN_MS - this._dependencies.clock.now()
  }

  private _maximumBodyBytes (): number {
    return this._dependencies.configuration.inForce?.configuration.limits?.bodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES
  }

  private _onClose (): void {
    if (this._response.writableFinished) return
    this._isCallerDisconnected = true
    this._admissionWait?.abort()
    // A call that may run at most once continues, because aborting it would not undo its effects.
    if (this._mayRepeat || this._call?.isSent === false) this._call?.abort('the caller disconnected')
  }

  /** Sends an error response, or aborts a response that has begun. Returns the result code of the request. */
  private _handleError (error: Error): ResultCode {
    const failure = error instanceof MimosarockError
      ? error
      : new MimosarockError(ResultCode.UNEXPECTED_FAILURE, error.message, { cause: error, run: RunState.UNKNOWN })
    this._problem ??= failure.message
    if (this._isCallerDisconnected || this._response.destroyed) return ResultCode.CALLER_GONE
    if (this._response.headersSent) this._relay?.abortResponse()
    else sendErrorResponse(this._response, failure, this._closesConnection(failure))
    return failure.code
  }

  /**
   * Returns whether to close the connection after an error response. It is closed after an unread body too, because its
   * bytes would be parsed as the next request.
   */
  private _closesConnection (error: MimosarockError): boolean {
    return this._dependencies.state.isStopping || !this._request.complete || error.code === ResultCode.HEADERS_TOO_LARGE
  }

  private _observeFirstByte (route: string): void {
    this._firstByteMs = this._dependencies.clock.now() - this._startedAt
    this._dependencies.metrics.firstByteSeconds.observe({ route }, this._firstByteMs / MS_PER_SECOND)
  }

  private _report (authorized: AuthorizedRequest | undefined, code: ResultCode): void {
    reportRequest(this._dependencies, {
      requestId: this._requestId,
      authorized,
      chosen: this._chosen,
      waitedMs: this._waitedMs,
      attempts: this._attempts,
      status: this._response.headersSent ? this._response.statusCode : 0,
      code,
      firstByteMs: this._firstByteMs,
      elapsedMs: this._dependencies.clock.now() - this._startedAt,
      problem: this._problem
    })
  }
}

function headBytes (rawHeaders: readonly string[]): number {
  // Each header has a colon, a space and CRLF in addition to its name and value: 2 bytes for each of the two strings.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
}
