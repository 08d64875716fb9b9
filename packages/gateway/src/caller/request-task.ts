import type { IncomingMessage, ServerResponse } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { HeldConnection } from '../memory/held-connection.js'
import { ResponseRelay } from '../responses/response-relay.js'
import { sendErrorResponse } from '../responses/send-error-response.js'
import type { Homes } from '../homes/homes.js'
import type { RequestContent } from '../model/request-content.js'
import { RouteKind } from '../model/route-kind.js'
import type { AdmissionPath } from './admission-path.js'
import type { AuthorizedRequest } from './authorized-request.js'
import { createNoEndpointError } from './create-no-endpoint-error.js'
import { EndpointAttempts } from './endpoint-attempts.js'
import { createStoppingError } from './create-stopping-error.js'
import type { LiveRequest } from './live-request.js'
import { nextEventLoopIteration } from './next-event-loop-iteration.js'
import { reportRequest } from './report-request.js'
import type { RequestDependencies } from './request-dependencies.js'
import { RequestAuthorization } from './request-authorization.js'
import { RequestBody } from './request-body.js'
import { requestFingerprint } from './request-fingerprint.js'
import { requireNotEvacuated } from './require-not-evacuated.js'
import { requireNotQuarantined } from './require-not-quarantined.js'
import { RequestTimeLimit } from './request-time-limit.js'

/** Maximum body length if the configuration sets none. */
const DEFAULT_MAXIMUM_BODY_BYTES = 4_194_304
/** Fraction of the latency objective of a route for which a request is worth keeping until an endpoint takes it. */
const MAXIMUM_WAIT_FRACTION = 0.5
const MS_PER_SECOND = 1_000

/**
 * Serves one request of a caller, from its head to the end of its response: authorization, admission, the attempts at
 * endpoints and error responses.
 */
export class RequestTask implements LiveRequest {
  private readonly _dependencies: RequestDependencies
  private readonly _request: IncomingMessage
  private readonly _response: ServerResponse
  private readonly _time: RequestTimeLimit
  private readonly _held: HeldConnection
  private _isTooSlow = false
  private readonly _body: RequestBody
  private readonly _authorization: RequestAuthorization
  private _fingerprint: string | undefined
  private _isCallerDisconnected = false
  private _relay: ResponseRelay | undefined
  private _problem: string | undefined
  private _admissionWait: AbortController | undefined
  private _admittedAt = 0
  private _waitedMs = 0
  private _path: AdmissionPath | undefined
  private _firstByteMs: number | undefined
  private _attempts: EndpointAttempts | undefined
  private _isRefusedForStop = false

  /**
   * @param dependencies components of the router, shared by all requests
   * @param request request of the caller
   * @param response response to the caller
   */
  constructor (dependencies: RequestDependencies, request: IncomingMessage, response: ServerResponse) {
    this._dependencies = dependencies
    this._request = request
    this._response = response
    this._time = new RequestTimeLimit(dependencies.clock, dependencies.state, () => response.headersSent)
    this._authorization = new RequestAuthorization(dependencies, request, this._time)
    this._held = dependencies.heldBytes.add({
      unsentBytes: () => this._relay?.unsentBytes ?? response.writableLength,
      closeSlow: (unsentBytes) => this._closeSlow(unsentBytes)
    })
    this._body = new RequestBody(request, () => this._maximumBodyBytes(), this._held)
  }

  /** Serves the request. Failures are reported to the caller and logged; they do not reject the promise. */
  async run (): Promise<void> {
    this._dependencies.state.requestsInFlight += 1
    this._dependencies.liveRequests.add(this)
    this._dependencies.eventLoopMeter.recordArrival()
    this._response.on('close', () => this._onClose())
    this._response.on('drain', () => this._attempts?.resume())
    let authorized: AuthorizedRequest | undefined
    let admission: AdmissionPath | undefined
    let code: ResultCode = ResultCode.OK
    try {
      if (!this._dependencies.startupGate.isOpen) await this._dependencies.startupGate.waitUntilOpen()
      authorized = await this._authorization.authorizeByNewestVersion(() => this._isCallerDisconnected)
      const body = await this._body.read()
      let content: RequestContent
      for (;;) {
        authorized = this._authorization.authorizeAgainAfterDelay(authorized)
        content = this._contentOf(authorized, body)
        admission = await this._admitContent(authorized, content)
        const newest = this._authorization.authorizeAgainAfterDelay(authorized)
        if (newest === authorized) break
        // The request was admitted as one of another workspace or service than the one for which it may run now.
        admission.withdraw()
        admission = undefined
      }
      const served = this._serve(authorized, admission, content, body)
      admission.recordDispatch()
      await served
    } catch (error) {
      code = this._handleError(error as Error)
    } finally {
      this._body.discard()
      this._held.releaseReceived()
    }
    if (authorized !== undefined && admission !== undefined) this._release(authorized, admission, code)
    this._held.requestEnded()
    this._dependencies.state.requestsInFlight -= 1
    this._dependencies.liveRequests.delete(this)
    this._report(authorized, code)
  }

  limitToStop (): void {
    this._time.shorten()
    if (this._admissionWait === undefined || this._time.endsBeforeStop) return
    this._isRefusedForStop = true
    this._admissionWait.abort()
  }

  private async _admitContent (authorized: AuthorizedRequest, content: RequestContent): Promise<AdmissionPath> {
    requireNotQuarantined(this._dependencies.quarantine, content, 0)
    requireNotEvacuated(this._dependencies.endpoints, authorized.service)
    this._requireEndpointWithinWait(authorized, this._dependencies.currentHomes.of(authorized))
    return await this._waitForAdmission(authorized)
  }

  private _release ({ service, route }: AuthorizedRequest, admission: AdmissionPath, code: ResultCode): void {
    const elapsedMs = this._dependencies.clock.now() - this._admittedAt
    if (code === ResultCode.OK) this._dependencies.routeTimes.record(service, route.name, elapsedMs)
    admission.release(elapsedMs)
  }

  private _contentOf ({ caller, workspace }: AuthorizedRequest, body: Buffer): RequestContent {
    const { method, headers, url } = this._request
    const fingerprint = requestFingerprint({ method: method ?? '', host: headers.host ?? '', target: url ?? '', workspace, body })
    this._fingerprint = fingerprint
    return { prompt: caller.prompt, fingerprint }
  }

  /**
   * Rejects the request if it has home regions and there is no endpoint in them, or if all endpoints where it may run want no
   * requests for longer than it may wait.
   */
  private _requireEndpointWithinWait ({ service, route }: AuthorizedRequest, homes: Homes | undefined): void {
    const { endpointSelector } = this._dependencies
    if (homes !== undefined && !endpointSelector.hasEndpoint(service, homes.mayRunAt)) throw createNoEndpointError(0, undefined, homes)
    const pauseMs = endpointSelector.pauseMs(service, homes?.mayRunAt)
    if (pauseMs > route.objectiveMs * MAXIMUM_WAIT_FRACTION) throw createNoEndpointError(0, pauseMs, homes)
  }

  /** Admits the request to its service; queues it while the service has no capacity. */
  private async _waitForAdmission (authorized: AuthorizedRequest): Promise<AdmissionPath> {
    // The caller may have disconnected before its request was read; the disconnect is read in the next iteration.
    await nextEventLoopIteration()
    if (this._isCallerDisconnected || this._request.socket.readableEnded) throw new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected')
    const { admissionPaths, currentHomes, permits } = this._dependencies
    permits.countRequest(authorized.service)
    for (;;) {
      const homes = currentHomes.of(authorized)
      const admission = admissionPaths.create(authorized, () => this._time.leftMs, homes)
      this._path = admission
      await this._admit(admission, authorized)
      const newHomes = currentHomes.of(authorized)
      if (newHomes === homes) return admission
      // The configuration has changed while the request was queued: there may be no capacity where it may run now.
      admission.withdraw()
      if (this._isCallerDisconnected) throw new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected')
      this._requireEndpointWithinWait(authorized, newHomes)
    }
  }

  private async _admit (admission: AdmissionPath, authorized: AuthorizedRequest): Promise<void> {
    const { clock } = this._dependencies
    const request = {
      workspace: authorized.workspace,
      rank: authorized.priority,
      routeRank: authorized.route.priority,
      objectiveMs: authorized.route.objectiveMs,
      timeLeftMs: this._time.leftMs
    }
    this._admittedAt = clock.now()
    if (admission.tryAdmit(request)) return
    this._admissionWait = new AbortController()
    const queuedAt = this._admittedAt
    try {
      await admission.wait(request, this._admissionWait.signal)
    } catch (error) {
      throw this._isRefusedForStop ? createStoppingError() : error
    } finally {
      this._admissionWait = undefined
      this._admittedAt = clock.now()
      this._waitedMs += this._admittedAt - queuedAt
    }
  }

  private async _serve (authorized: AuthorizedRequest, admission: AdmissionPath, content: RequestContent, body: Buffer): Promise<void> {
    const { route } = authorized
    this._time.requireEndBeforeStop()
    if (this._isCallerDisconnected) throw new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected')
    this._dependencies.retryBudgetOf(authorized.service).countRequest()
    const relay = new ResponseRelay({
      response: this._response,
      isStream: route.kind === RouteKind.STREAM,
      memory: this._held,
      stalls: this._dependencies.stalls,
      now: () => this._dependencies.clock.now(),
      closesConnection: () => this._dependencies.state.isStopping,
      onStart: () => {
        this._observeFirstByte(route.name)
        this._dependencies.quarantine.recordBegin(content)
      }
    })
    this._relay = relay
    const attempts = new EndpointAttempts(this._dependencies, {
      authorized, content, request: this._request, body, relay, admission, timeLeftMs: () => this._time.leftMs
    })
    this._attempts = attempts
    this._held.onRefused(() => attempts.giveUpForMemory())
    this._time.start(() => attempts.endAtDeadline())
    try {
      await attempts.run()
      this._dependencies.quarantine.recordCompletion(content)
    } catch (error) {
      if (!relay.hasBufferedResponse || this._isCallerDisconnected) throw error
      relay.finish()
    } finally {
      this._time.stop()
    }
  }

  private _maximumBodyBytes (): number {
    return this._dependencies.configuration.inForce?.configuration.limits?.bodyBytes ?? DEFAULT_MAXIMUM_BODY_BYTES
  }

  /** Closes the connection of a caller that reads too slowly, also if the request has ended for the router; the response is then incomplete. */
  private _closeSlow (unsentBytes: number): void {
    const { log, metrics } = this._dependencies
    this._isTooSlow = true
    metrics.slowCallersClosed.inc()
    log.warn('caller-too-slow', { code: ResultCode.CALLER_TOO_SLOW, request: this._authorization.requestId, unsent_bytes: unsentBytes })
    this._response.destroy()
  }

  private _onClose (): void {
    this._held.responseClosed()
    if (this._response.writableFinished) return
    this._isCallerDisconnected = true
    this._admissionWait?.abort()
    this._attempts?.endForCaller()
  }

  /** Sends an error response, or aborts a response that has begun. Returns the result code of the request. */
  private _handleError (error: Error): ResultCode {
    const failure = error instanceof MimosarockError
      ? error
      : new MimosarockError(ResultCode.UNEXPECTED_FAILURE, error.message, { cause: error, run: RunState.UNKNOWN })
    this._problem = this._attempts?.problem ?? failure.message
    if (this._isTooSlow) return ResultCode.CALLER_TOO_SLOW
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
    this._firstByteMs = this._dependencies.clock.now() - this._time.startedAt
    this._dependencies.metrics.firstByteSeconds.observe({ route }, this._firstByteMs / MS_PER_SECOND)
  }

  private _report (authorized: AuthorizedRequest | undefined, code: ResultCode): void {
    reportRequest(this._dependencies, {
      requestId: this._authorization.requestId,
      fingerprint: this._fingerprint,
      authorized,
      chosen: this._attempts?.chosen,
      waitedMs: this._waitedMs,
      grantMs: this._path?.grantMs,
      slotOwner: this._path?.slotOwner,
      attempts: this._attempts?.count ?? 0,
      status: this._response.headersSent ? this._response.statusCode : 0,
      code,
      firstByteMs: this._firstByteMs,
      elapsedMs: this._dependencies.clock.now() - this._time.startedAt,
      problem: this._problem ?? this._attempts?.problem
    })
  }
}
