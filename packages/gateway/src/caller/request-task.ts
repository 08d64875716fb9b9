import type { IncomingMessage, ServerResponse } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { ServiceAdmission } from '../admission/service-admission.js'
import { AnswerRelay } from '../answers/answer-relay.js'
import { sendRefusal } from '../answers/send-refusal.js'
import type { ChosenEndpoint } from '../choice/chosen-endpoint.js'
import { EndpointSelector } from '../choice/endpoint-selector.js'
import type { PromptPart } from '../model/prompt-part.js'
import { RouteKind } from '../model/route-kind.js'
import { mayRetry } from '../retries/may-retry.js'
import { CallOutcome } from '../sending/call-outcome.js'
import type { CallResult } from '../sending/call-result.js'
import { EndpointCall } from '../sending/endpoint-call.js'
import { admitRequest } from './admit-request.js'
import type { AdmittedRequest } from './admitted-request.js'
import { nextTurn } from './next-turn.js'
import { notRun } from './not-run.js'
import { readRequestBody } from './read-request-body.js'
import { reportRequest } from './report-request.js'
import type { RequestParts } from './request-parts.js'

/** Longest body where no configuration sets a bound, in bytes. */
const DEFAULT_BODY_BYTES = 4_194_304
/** Taken off the time that a caller waits, so that the router's answer still reaches it. */
const ANSWER_MARGIN_MS = 15
/** Least time left for which a request is sent on; no answer fits into less. */
const LEAST_CALL_MS = 5
const FIRST_SERVER_ERROR_STATUS = 500
const MS_PER_SECOND = 1_000

/** Serves one request of a caller, from its head to the end of its answer. */
export class RequestTask {
  private readonly _parts: RequestParts
  private readonly _request: IncomingMessage
  private readonly _response: ServerResponse
  private readonly _startedAt: number
  private _requestId: string | undefined
  private _isCallerGone = false
  private _mayRepeat = true
  private _call: EndpointCall | undefined
  private _relay: AnswerRelay | undefined
  private _chosen: ChosenEndpoint | undefined
  private _problem: string | undefined
  private _waiting: AbortController | undefined
  private _admittedAt = 0
  private _waitedMs = 0
  private _firstByteMs: number | undefined
  private _tries = 0
  private _runs = 0

  /**
   * @param parts what the task works with
   * @param request of the caller
   * @param response to the caller
   */
  constructor (parts: RequestParts, request: IncomingMessage, response: ServerResponse) {
    this._parts = parts
    this._request = request
    this._response = response
    this._startedAt = parts.clock.now()
  }

  /** Serves the request; never rejects. */
  async run (): Promise<void> {
    this._parts.state.requestsInWork += 1
    this._parts.turns.note()
    this._response.on('close', () => this._onClose())
    this._response.on('drain', () => this._call?.resume())
    let admitted: AdmittedRequest | undefined
    let admission: ServiceAdmission | undefined
    let code: ResultCode = ResultCode.OK
    try {
      if (!this._parts.startup.isOpen) await this._parts.startup.pass()
      admitted = this._admit()
      const body = await readRequestBody(this._request, this._maximumBodyBytes())
      admission = await this._enter(admitted)
      await this._serve(admitted, body)
    } catch (error) {
      code = this._fail(error as Error)
    }
    admission?.release(this._parts.clock.now() - this._admittedAt)
    this._parts.state.requestsInWork -= 1
    this._report(admitted, code)
  }

  private _admit (): AdmittedRequest {
    const { codec, configuration, keyAgeLimitMs } = this._parts
    const { rawHeaders, headers, url } = this._request
    const caller = codec.readCallerRequest(rawHeaders)
    if (caller === undefined) throw new MimosarockError(ResultCode.INVALID_REQUEST, 'the request has no identity')
    this._requestId = caller.id
    const limits = configuration.inForce?.configuration.limits
    if (limits !== undefined && headBytes(rawHeaders) > limits.headerBytes) {
      throw new MimosarockError(ResultCode.HEADERS_TOO_LARGE, `the head is longer than ${limits.headerBytes} bytes`)
    }
    const admitted = admitRequest(caller, headers.host ?? '', url ?? '', configuration, keyAgeLimitMs())
    this._requireTimeToServe(admitted)
    return admitted
  }

  private _requireTimeToServe (admitted: AdmittedRequest): void {
    const { endsAt } = this._parts.state
    if (endsAt === undefined || performance.now() + this._timeLeftMs(admitted) <= endsAt) return
    throw notRun(ResultCode.ROUTER_STOPPING, 'the router stops before the request would end', 0)
  }

  /** Takes a place at the service, after a wait if need be. */
  private async _enter (admitted: AdmittedRequest): Promise<ServiceAdmission> {
    const { admissions, pressure, clock } = this._parts
    // Under pressure the caller may have left while its request waited to be read; its leave is read in the next turn.
    if (pressure.isHigh) await nextTurn()
    if (this._isCallerGone) throw new MimosarockError(ResultCode.CALLER_GONE, 'the caller left')
    const request = {
      workspace: admitted.workspace,
      rank: admitted.priority,
      routeRank: admitted.route.priority,
      objectiveMs: admitted.route.objectiveMs,
      timeLeftMs: this._timeLeftMs(admitted)
    }
    const admission = admissions.of(admitted.service)
    this._admittedAt = clock.now()
    if (admission.tryAdmit(request)) return admission
    this._waiting = new AbortController()
    const waitsSince = this._admittedAt
    try {
      await admission.wait(request, this._waiting.signal)
      return admission
    } finally {
      this._admittedAt = clock.now()
      this._waitedMs = this._admittedAt - waitsSince
    }
  }

  private async _serve (admitted: AdmittedRequest, body: Buffer): Promise<void> {
    const { route } = admitted
    this._parts.budgetOf(admitted.service).countRequest()
    const relay = new AnswerRelay({
      response: this._response,
      isStream: route.kind === RouteKind.STREAM,
      isResumable: route.kind === RouteKind.STREAM && route.isResumable,
      closesConnection: () => this._parts.state.isStopping,
      started: () => this._observeFirstByte(route.name)
    })
    this._relay = relay
    const timer = setTimeout(() => this._call?.abort('time is up'), Math.max(0, this._timeLeftMs(admitted)))
    try {
      await this._tryEndpoints(admitted, body, relay)
    } catch (error) {
      if (!relay.hasWholeAnswer || this._isCallerGone) throw error
      relay.finish()
    } finally {
      clearTimeout(timer)
    }
  }

  private async _tryEndpoints (admitted: AdmittedRequest, body: Buffer, relay: AnswerRelay): Promise<void> {
    const excluded = new Set<string>()
    for (;;) {
      if (this._isCallerGone) throw new MimosarockError(ResultCode.CALLER_GONE, 'the caller left')
      if (this._timeLeftMs(admitted) < LEAST_CALL_MS) throw this._timeIsUp()
      const chosen = this._parts.choice.choose(admitted.service, admitted.caller.prompt, excluded)
      if (chosen === undefined) throw this._noEndpoint()
      this._chosen = chosen
      excluded.add(chosen.endpoint.id)
      const result = await this._callEndpoint(admitted, body, relay, chosen)
      if (result.outcome !== CallOutcome.COMPLETE) this._problem = `${result.outcome}: ${result.problem}`
      if (this._isDone(admitted, result, relay)) return
    }
  }

  private async _callEndpoint (
    admitted: AdmittedRequest, body: Buffer, relay: AnswerRelay, chosen: ChosenEndpoint
  ): Promise<CallResult> {
    const { caller, service, route } = admitted
    const { endpoint, contextHolder } = chosen
    const headers = this._parts.codec.writeDispatchHeaders(this._request.rawHeaders, {
      endpointId: endpoint.id,
      deadlineMs: Math.floor(this._timeLeftMs(admitted)),
      workspace: admitted.workspace,
      priority: admitted.priority,
      contextHolder: contextHolder?.address,
      lastEventId: relay.lastEventId
    })
    const call = new EndpointCall({
      id: caller.id, method: this._request.method ?? 'GET', path: this._request.url ?? '/', headers, body
    }, this._parts.codec, relay)
    this._call = call
    this._tries += 1
    this._noteHolder(caller.prompt, chosen)
    this._parts.loads.begin(endpoint.id)
    this._mayRepeat = route.kind !== RouteKind.ONCE
    call.send(this._parts.connections.pool(endpoint, this._mayRepeat, this._parts.connectionsOf(service)))
    const result = await call.result
    this._parts.loads.end(endpoint.id)
    this._noteHealth(endpoint.id, result)
    return result
  }

  private _noteHolder (prompt: readonly PromptPart[], { endpoint, isChosenAsPrimary: isFirstHome }: ChosenEndpoint): void {
    const { holders, isFleetLarge } = this._parts
    const key = EndpointSelector.keyOf(prompt)
    if (key === undefined) return
    // All routers look for a key at its first home, so a large fleet is told of the others only.
    if (isFirstHome && isFleetLarge()) holders.learn(key, endpoint.id)
    else holders.add(key, endpoint.id)
  }

  /** Whether the request has its answer; false if it goes to another endpoint. */
  private _isDone (admitted: AdmittedRequest, result: CallResult, relay: AnswerRelay): boolean {
    const { outcome, head } = result
    const isNotRun = outcome === CallOutcome.NOT_SENT || outcome === CallOutcome.REJECTED
    if (!isNotRun) this._runs += 1
    const isFailure = outcome !== CallOutcome.COMPLETE ||
      (head !== undefined && head.status >= FIRST_SERVER_ERROR_STATUS && !relay.isStarted && admitted.route.kind === RouteKind.IDEMPOTENT)
    if (isFailure && this._takesRetry(admitted, outcome, relay)) {
      this._parts.metrics.retries.inc({ service: admitted.service, outcome })
      if (outcome === CallOutcome.COMPLETE) relay.keepWholeAnswer()
      relay.prepareResumption()
      return false
    }
    if (outcome === CallOutcome.COMPLETE) {
      relay.finish()
      return true
    }
    throw this._errorOf(result)
  }

  private _takesRetry (admitted: AdmittedRequest, outcome: CallOutcome, relay: AnswerRelay): boolean {
    if (this._isCallerGone) return false
    const soFar = { tries: this._tries, runs: this._runs }
    if (!mayRetry(admitted.route, outcome, soFar, relay.isStarted)) return false
    return outcome === CallOutcome.NOT_SENT || this._parts.budgetOf(admitted.service).take()
  }

  private _noteHealth (endpointId: string, result: CallResult): void {
    const { health } = this._parts
    if (result.outcome === CallOutcome.COMPLETE) return health.recordSuccess(endpointId)
    if (result.outcome === CallOutcome.ABORTED || result.outcome === CallOutcome.REJECTED) return
    health.recordFailure(endpointId, result.outcome === CallOutcome.NOT_SENT)
  }

  private _errorOf (result: CallResult): MimosarockError {
    const problem = result.problem ?? result.outcome
    if (this._isCallerGone) return new MimosarockError(ResultCode.CALLER_GONE, 'the caller left')
    if (this._runs === 0) {
      const code = result.outcome === CallOutcome.REJECTED ? ResultCode.OVERLOADED : ResultCode.NO_ENDPOINT
      return notRun(code, `no endpoint took the request: ${problem}`)
    }
    if (result.outcome === CallOutcome.ABORTED) return this._timeIsUp()
    return new MimosarockError(ResultCode.ENDPOINT_FAILED, `the endpoint failed: ${problem}`, { run: RunState.UNKNOWN })
  }

  private _noEndpoint (): MimosarockError {
    if (this._runs === 0) return notRun(ResultCode.NO_ENDPOINT, 'no endpoint of the service takes work')
    return new MimosarockError(ResultCode.ENDPOINT_FAILED, 'no other endpoint is left', { run: RunState.UNKNOWN })
  }

  private _timeIsUp (): MimosarockError {
    if (this._runs === 0) return notRun(ResultCode.DEADLINE_CANNOT_BE_MET, 'the time was up before the request was sent')
    return new MimosarockError(ResultCode.DEADLINE_EXCEEDED, 'the time was up', { run: RunState.UNKNOWN })
  }

  /** Milliseconds until the caller's deadline or the route's timeout, whichever is first. */
  private _timeLeftMs (admitted: AdmittedRequest): number {
    const limit = Math.min(admitted.caller.deadlineMs ?? Infinity, admitted.route.timeoutMs)
    return this._startedAt + limit - ANSWER_MARGIN_MS - this._parts.clock.now()
  }

  private _maximumBodyBytes (): number {
    return this._parts.configuration.inForce?.configuration.limits?.bodyBytes ?? DEFAULT_BODY_BYTES
  }

  private _onClose (): void {
    if (this._response.writableFinished) return
    this._isCallerGone = true
    this._waiting?.abort()
    // A call that may run only once goes on: breaking it off would not undo it.
    if (this._mayRepeat || this._call?.isSent === false) this._call?.abort('the caller left')
  }

  private _fail (error: Error): ResultCode {
    const known = error instanceof MimosarockError
      ? error
      : new MimosarockError(ResultCode.UNEXPECTED_FAILURE, error.message, { cause: error, run: RunState.UNKNOWN })
    this._problem ??= known.message
    if (this._isCallerGone || this._response.destroyed) return ResultCode.CALLER_GONE
    if (this._response.headersSent) this._relay?.breakOff()
    else sendRefusal(this._response, known, this._closesAfter(known))
    return known.code
  }

  /** A request whose body was not read to its end leaves bytes on the connection that must not be read as the next one. */
  private _closesAfter (error: MimosarockError): boolean {
    return this._parts.state.isStopping || !this._request.complete || error.code === ResultCode.HEADERS_TOO_LARGE
  }

  private _observeFirstByte (route: string): void {
    this._firstByteMs = this._parts.clock.now() - this._startedAt
    this._parts.metrics.firstByteSeconds.observe({ route }, this._firstByteMs / MS_PER_SECOND)
  }

  private _report (admitted: AdmittedRequest | undefined, code: ResultCode): void {
    reportRequest(this._parts, {
      requestId: this._requestId,
      admitted,
      chosen: this._chosen,
      waitedMs: this._waitedMs,
      tries: this._tries,
      status: this._response.headersSent ? this._response.statusCode : 0,
      code,
      firstByteMs: this._firstByteMs,
      elapsedMs: this._parts.clock.now() - this._startedAt,
      problem: this._problem
    })
  }
}

function headBytes (rawHeaders: readonly string[]): number {
  // Each header takes a colon, a space and a line end beside its name and value.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
}
