import type { IncomingMessage } from 'node:http'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { authorizeRequest } from './authorize-request.js'
import type { AuthorizedRequest } from './authorized-request.js'
import type { RequestDependencies } from './request-dependencies.js'
import type { RequestTimeLimit } from './request-time-limit.js'

/** Time after the head of a request arrived, from which it is authorized again before it is sent. */
const AUTHORIZATION_LIFETIME_MS = 1_000
/** Maximum time for which a request waits for a version of the configuration that may allow it, in milliseconds and as a part of the time until its deadline. */
const MAXIMUM_VERSION_WAIT_MS = 1_000
const MAXIMUM_VERSION_WAIT_FRACTION = 0.3

/** Components that authorization needs. */
type Dependencies = Pick<RequestDependencies, 'clock' | 'codec' | 'configuration' | 'configurationAgeLimits' | 'configurationArrivals'>

/** Authorizes one request by its head: when it arrives, when a version that may allow it is in force, and again after a delay. */
export class RequestAuthorization {
  private readonly _dependencies: Dependencies
  private readonly _request: IncomingMessage
  private readonly _time: RequestTimeLimit
  private _requestId: string | undefined
  private _waitUntil = Infinity

  /**
   * @param dependencies components of the router
   * @param request request of the caller
   * @param time time limit of the request, which is set when it is authorized
   */
  constructor (dependencies: Dependencies, request: IncomingMessage, time: RequestTimeLimit) {
    this._dependencies = dependencies
    this._request = request
    this._time = time
  }

  /** Id of the request; undefined if it has none, or its head was not read yet. */
  get requestId (): string | undefined {
    return this._requestId
  }

  /**
   * Authorizes the request. If only a version that this router lacks may allow it, it waits for that version.
   * @param isCallerDisconnected returns whether the caller has left
   * @throws MimosarockError if the request is not allowed, or can't be authorized now
   */
  async authorizeByNewestVersion (isCallerDisconnected: () => boolean): Promise<AuthorizedRequest> {
    const { clock, configurationArrivals } = this._dependencies
    for (;;) {
      try {
        return this._authorize()
      } catch (error) {
        if (!this._mayWait(error as Error)) throw error
      }
      await configurationArrivals.wait(this._waitUntil - clock.now())
      if (isCallerDisconnected()) throw new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected')
    }
  }

  /**
   * Authorizes a request again that was delayed: a long body, a queue, or a pause of the process may have outlasted what the API
   * keys were known by.
   * @param authorized what the request was authorized for
   * @returns what it is authorized for now; the same object if that has not changed
   * @throws MimosarockError if the request is no longer allowed
   */
  authorizeAgainAfterDelay (authorized: AuthorizedRequest): AuthorizedRequest {
    if (this._dependencies.clock.now() - this._time.startedAt < AUTHORIZATION_LIFETIME_MS) return authorized
    const newest = this._authorize()
    return isAuthorizedAlike(newest, authorized) ? authorized : newest
  }

  private _mayWait (error: Error): boolean {
    const { clock, configuration, configurationArrivals } = this._dependencies
    const isOutdated = error instanceof MimosarockError && error.code === ResultCode.CONFIGURATION_OUTDATED
    return isOutdated && configuration.awaited.version !== undefined && clock.now() < this._waitUntil && !configurationArrivals.isFull
  }

  private _authorize (): AuthorizedRequest {
    const { codec, configuration, configurationAgeLimits } = this._dependencies
    const { rawHeaders, headers, url } = this._request
    const caller = codec.readCallerRequest(rawHeaders)
    if (caller === undefined) throw new MimosarockError(ResultCode.INVALID_REQUEST, 'the request has no request id')
    this._requestId = caller.id
    this._waitUntil = this._time.startedAt + Math.min(MAXIMUM_VERSION_WAIT_MS, (caller.deadlineMs ?? Infinity) * MAXIMUM_VERSION_WAIT_FRACTION)
    const limits = configuration.inForce?.configuration.limits
    if (limits !== undefined && headBytes(rawHeaders) > limits.headerBytes) {
      throw new MimosarockError(ResultCode.HEADERS_TOO_LARGE, `the request headers exceed ${limits.headerBytes} bytes`)
    }
    const authorized = authorizeRequest(caller, headers.host ?? '', url ?? '', configuration, configurationAgeLimits())
    this._time.setLimits(authorized)
    this._time.requireEndBeforeStop()
    return authorized
  }
}

function isAuthorizedAlike (left: AuthorizedRequest, right: AuthorizedRequest): boolean {
  return left.workspace === right.workspace && left.service === right.service && left.priority === right.priority && left.route.name === right.route.name &&
    left.route.kind === right.route.kind
}

function headBytes (rawHeaders: readonly string[]): number {
  // Each header has a colon, a space and CRLF in addition to its name and value: 2 bytes for each of the two strings.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
}
