import { SlotOutcome } from '../grants/slot-outcome.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { ResponseHead } from '../model/response-head.js'
import type { StatedLoad } from '../model/stated-load.js'
import { AnswerVerdict } from '../outliers/answer-verdict.js'
import { judgeAnswer } from '../outliers/judge-answer.js'
import { CallOutcome } from '../sending/call-outcome.js'
import type { CallResult } from '../sending/call-result.js'
import type { EndpointAttemptsOptions } from './endpoint-attempts-options.js'
import { recordWarmth } from './record-warmth.js'
import type { RequestDependencies } from './request-dependencies.js'

/** Minimum time left for a response that has not arrived to count against its endpoint. */
const MINIMUM_CALL_MS = 5
/** Age up to which the load that an endpoint stated is told to the slot owner, in milliseconds. */
const MAXIMUM_LOAD_AGE_MS = 100
const MISDIRECTED_STATUS = 421
const UNAVAILABLE_STATUS = 503

/** State of a call at its end. */
interface CallEnd {
  /** Whether the response was not read any more because its caller did not take it. */
  readonly isPaused: boolean
  /** Whether the caller has disconnected. */
  readonly isCallerDisconnected: boolean
}

/** Records what the attempts of one request tell of the endpoints: their health, loads and limits, crashes and restarts. */
export class AttemptRecords {
  private readonly _dependencies: RequestDependencies
  private readonly _options: EndpointAttemptsOptions
  private _startedAt = 0
  private _headReceivedAt = -Infinity
  private _lossesBeforeAnswer = 0
  private _isHeldBack = false

  /**
   * @param dependencies components of the router, shared by all requests
   * @param options the request and where its response goes
   */
  constructor (dependencies: RequestDependencies, options: EndpointAttemptsOptions) {
    this._dependencies = dependencies
    this._options = options
  }

  /** Number of endpoints to which the request lost its connection before they answered. */
  get lossesBeforeAnswer (): number {
    return this._lossesBeforeAnswer
  }

  /** Records that a call begins. */
  callBegun (): void {
    this._startedAt = this._dependencies.clock.now()
    this._headReceivedAt = -Infinity
    this._isHeldBack = false
  }

  /** Records that the call is not sent, because the request may no longer run at the endpoint. That says nothing about its health. */
  callHeldBack (): void {
    this._isHeldBack = true
  }

  /**
   * Records what an endpoint states about the requests that it wants, and its load.
   * @param endpoint endpoint that was called
   * @param head head of its response
   */
  headReceived (endpoint: EndpointEntry, { status, isSigned, isLeaving, retryAfterMs, requestsPerSecond, load, isLoadInvalid }: ResponseHead): void {
    // Another endpoint may have the address.
    if (status === MISDIRECTED_STATUS) return
    const { clock, endpoints, pauses, limits, reportedLoads } = this._dependencies
    this._headReceivedAt = clock.now()
    if (load !== undefined) reportedLoads.record(endpoint, load)
    else if (isLoadInvalid === true) reportedLoads.recordInvalid(endpoint)
    // A rejection without a signature may come from a queue that knows nothing of the limit.
    if (isSigned || requestsPerSecond !== undefined) limits.record(endpoint, requestsPerSecond)
    if (isLeaving) endpoints.recordLeaving(endpoint)
    if (status === UNAVAILABLE_STATUS && retryAfterMs !== undefined) pauses.record(endpoint, retryAfterMs)
  }

  /**
   * Records the end of a call.
   * @param endpoint endpoint that was called
   * @param result result of the call
   * @param end state of the call at its end
   */
  callEnded (endpoint: EndpointEntry, result: CallResult, end: CallEnd): void {
    this._options.admission.endCall(this._slotOutcome(result), this._recentLoad(result))
    if (!this._isHeldBack && !this._wasCutOffUnread(result)) {
      this._recordHealth(endpoint.id, result)
      recordWarmth(this._dependencies.warmUps, endpoint, result)
    }
    if (result.isEndless === true) this._dependencies.endlessEndpoints.recordEndless(endpoint)
    else if (result.outcome === CallOutcome.COMPLETE) this._dependencies.endlessEndpoints.recordEnded(endpoint)
    const verdict = this._verdictOf(result, end)
    if (!result.isConnectionLost) return this._recordAnswer(endpoint, verdict)
    // Whatever crashes an endpoint is dealt with as a crash, and tells nothing of the incarnation that follows.
    this._recordLoss(endpoint).then((hasCrashed) => { if (!hasCrashed) this._recordAnswer(endpoint, verdict) }, () => undefined)
  }

  /** An endpoint that cuts off a response which its caller does not read is sound, and has not restarted. */
  private _wasCutOffUnread ({ outcome }: CallResult): boolean {
    return outcome === CallOutcome.BROKEN && this._options.relay.wasUnread
  }

  /** Returns the outcome for the slot owner. What the endpoint is not to blame for says nothing about its health. */
  private _slotOutcome (result: CallResult): SlotOutcome {
    if (this._isHeldBack) return SlotOutcome.UNUSED
    return this._wasCutOffUnread(result) ? SlotOutcome.ABORTED : result.outcome
  }

  /** Returns the load that the endpoint stated, if that was a moment ago: a stream may have begun long before. */
  private _recentLoad ({ head }: CallResult): StatedLoad | undefined {
    return this._dependencies.clock.now() - this._headReceivedAt < MAXIMUM_LOAD_AGE_MS ? head?.load : undefined
  }

  private _recordHealth (endpointId: string, { outcome }: CallResult): void {
    const { health, stallWatch } = this._dependencies
    if (outcome === CallOutcome.COMPLETE) return health.recordSuccess(endpointId)
    if (outcome === CallOutcome.REJECTED) return
    const isSilent = stallWatch.isSilent(endpointId)
    if (outcome === CallOutcome.ABORTED && !isSilent) return
    health.recordFailure(endpointId, isSilent || outcome === CallOutcome.NOT_SENT)
  }

  private _verdictOf (result: CallResult, { isPaused, isCallerDisconnected }: CallEnd): AnswerVerdict {
    if (isCallerDisconnected || this._isHeldBack) return AnswerVerdict.NONE
    return judgeAnswer(result, {
      isPaused: isPaused || this._options.relay.wasUnread,
      isDeadlineOver: this._options.timeLeftMs() < MINIMUM_CALL_MS,
      elapsedMs: this._dependencies.clock.now() - this._startedAt
    })
  }

  private _recordAnswer (endpoint: EndpointEntry, verdict: AnswerVerdict): void {
    const { metrics, outliers, quarantine } = this._dependencies
    if (verdict === AnswerVerdict.NONE) return
    const isFailure = verdict === AnswerVerdict.FAILED
    if (isFailure) metrics.endpointFailures.inc({ service: endpoint.service })
    // Sound endpoints fail requests that crash endpoints.
    if (!isFailure || !quarantine.includes(this._options.content)) outliers.record(endpoint, isFailure)
  }

  private _recordLoss (endpoint: EndpointEntry): Promise<boolean> {
    const { content, relay } = this._options
    const { clock, crashDetector } = this._dependencies
    if (!relay.isStarted) this._lossesBeforeAnswer += 1
    return crashDetector.connectionLost(endpoint, { content, lostAt: clock.now(), hasBegun: relay.isStarted })
  }
}
