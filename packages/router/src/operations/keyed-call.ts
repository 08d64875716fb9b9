import { createHash, randomUUID } from 'node:crypto'
import { BeginOutcome } from '@mimosarock/coordination/ledger/begin-outcome.js'
import type { BeginResult } from '@mimosarock/coordination/ledger/begin-result.js'
import type { OperationAttempt } from '@mimosarock/coordination/ledger/operation-attempt.js'
import { OperationKey } from '@mimosarock/coordination/ledger/operation-key.js'
import type { OperationLedger } from '@mimosarock/coordination/ledger/operation-ledger.js'
import { OperationState } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { KeyedResponse } from './keyed-response.js'
import type { KeyedCallOptions } from './keyed-call-options.js'
import type { KeyedDispatch } from './keyed-dispatch.js'
import type { KeyedRequest } from './keyed-request.js'
import { StoredAnswerCodec } from './stored-answer-codec.js'

/** Delay after which a caller should retry a call that was not dispatched or whose outcome is not known yet. */
const IN_PROGRESS_RETRY_MS = 500

/**
 * Runs calls that may run at most once. Each attempt first writes an intent to the ledger; the call is dispatched only
 * if the attempt wins the key. The outcome of the dispatch is recorded in the ledger for the attempt that won the key.
 * If the ledger does not confirm the intent, the call is dispatched only if its route declares that the endpoint itself
 * refuses repeats.
 *
 * @example
 * const response = await keyedCall.run(request, (signal) => sendAndCollect(call, signal), callerSignal)
 */
export class KeyedCall {
  private readonly _options: KeyedCallOptions
  private readonly _codec: StoredAnswerCodec

  /**
   * @param options ledger, clock, time limits and other dependencies
   */
  constructor (options: KeyedCallOptions) {
    this._options = options
    this._codec = new StoredAnswerCodec(options.maximumStoredBodyBytes)
  }

  /**
   * Runs one call, or returns the response recorded for its key.
   * @param request the caller's request
   * @param dispatch sends the call; called at most once
   * @param signal aborts when the caller disconnects: `run` then ends immediately, while a dispatch that has started
   * continues so that its outcome is recorded
   * @returns the endpoint's response, or the one recorded for the key
   * @throws {MimosarockError} KEY_MISSING, KEY_INVALID, KEY_TOO_OLD, KEY_IN_FUTURE, KEY_REUSED,
   * OPERATION_IN_PROGRESS, OPERATION_IN_DOUBT, ANSWER_NOT_KEPT, LEDGER_UNAVAILABLE, OUTCOME_UNKNOWN,
   * DEADLINE_CANNOT_BE_MET, CALLER_GONE, the error returned by `request.reasonNotToBegin`, or the error of a dispatch
   * that was not run
   */
  async run (request: KeyedRequest, dispatch: KeyedDispatch, signal: AbortSignal): Promise<KeyedResponse> {
    const key = OperationKey.parse(request.key, request.keyTime)
    const ledger = this._options.ledgerFor(request.workspace, key.value)
    const attempt = createAttempt(request, key)
    const operation = ledger.get(attempt.workspace, attempt.key)
    if (operation === undefined) key.checkAge(this._options.clock.wallNow(), this._options.keyWindowMs)
    if (operation === undefined || operation.state === OperationState.NOT_RUN) {
      // An intent that is then abandoned takes two ledger records. Retries must not write them while no endpoint can run
      // the call.
      const refusal = request.reasonNotToBegin?.()
      if (refusal !== undefined) throw refusal
    }
    const running = this._beginAndDispatch(request, attempt, ledger, dispatch, signal)
    return await this._withinDeadline(request, attempt, running, signal)
  }

  private async _beginAndDispatch (request: KeyedRequest, attempt: OperationAttempt, ledger: OperationLedger, dispatch: KeyedDispatch, signal: AbortSignal): Promise<KeyedResponse> {
    const intentSentAt = this._options.clock.now()
    let result: BeginResult
    try {
      result = await ledger.begin(attempt)
    } catch (error) {
      return await this._handleUnconfirmedIntent(request, attempt, ledger, dispatch, signal, error)
    }
    if (result.outcome === BeginOutcome.IN_PROGRESS) result = await this._awaitOutcome(request, attempt, ledger, signal)
    if (result.outcome !== BeginOutcome.WON) return this._responseFromLedger(result)
    const refusal = this._reasonNotToDispatch(request, intentSentAt, signal)
    if (refusal !== undefined) {
      ledger.abandon(attempt)
      throw refusal
    }
    return await this._dispatch(request, attempt, ledger, dispatch)
  }

  /**
   * Waits briefly for the outcome of another call with the same key. When a caller retries immediately through another
   * router, the outcome is usually already on its way to the log.
   */
  private async _awaitOutcome (request: KeyedRequest, attempt: OperationAttempt, ledger: OperationLedger, signal: AbortSignal): Promise<BeginResult> {
    const remainingMs = request.deadlineAt - this._options.clock.now() - this._options.minimumRemainingMs
    const waitMs = Math.max(0, Math.min(this._options.inProgressWaitMs, remainingMs))
    const operation = await ledger.waitForOutcome(attempt.workspace, attempt.key, waitMs, signal)
    // A key that was reopened because its call was not run is left to the caller's next attempt.
    if (operation?.state !== OperationState.ANSWERED && operation?.state !== OperationState.IN_DOUBT) {
      return { outcome: BeginOutcome.IN_PROGRESS, operation }
    }
    return await ledger.begin(attempt)
  }

  /**
   * Handles an intent that the ledger did not confirm: rejects the call, or dispatches it if the route declares that the
   * endpoint itself refuses repeats.
   */
  private async _handleUnconfirmedIntent (request: KeyedRequest, attempt: OperationAttempt, ledger: OperationLedger, dispatch: KeyedDispatch, signal: AbortSignal, error: unknown): Promise<KeyedResponse> {
    const ledgerError = toLedgerError(error)
    const intentMayTakeEffect = ledgerError.run !== RunState.NOT_RUN
    const refusal = request.route.endpointRefusesRepeats
      ? this._reasonNotToDispatch(request, this._options.clock.now(), signal)
      : new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, ledgerError.message, { retryAfterMs: ledgerError.retryAfterMs, cause: error })
    if (refusal === undefined) return await this._dispatch(request, attempt, intentMayTakeEffect ? ledger : undefined, dispatch)
    if (intentMayTakeEffect) ledger.abandon(attempt)
    throw refusal
  }

  /**
   * Returns why the call must not be dispatched any more, or undefined if it may be dispatched. The code between this
   * check and the dispatch must not await anything, since the router may be paused meanwhile.
   */
  private _reasonNotToDispatch (request: KeyedRequest, intentSentAt: number, signal: AbortSignal): MimosarockError | undefined {
    const now = this._options.clock.now()
    if (signal.aborted) return new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected')
    if (now - intentSentAt > this._options.dispatchWindowMs) {
      return new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, 'the intent was confirmed too late for the call to be dispatched', { retryAfterMs: IN_PROGRESS_RETRY_MS })
    }
    if (request.deadlineAt - now < this._options.minimumRemainingMs) {
      return new MimosarockError(ResultCode.DEADLINE_CANNOT_BE_MET, 'too little time remains until the deadline to run the operation')
    }
    return undefined
  }

  private async _dispatch (request: KeyedRequest, attempt: OperationAttempt, ledger: OperationLedger | undefined, dispatch: KeyedDispatch): Promise<KeyedResponse> {
    const timeout = new AbortController()
    const finished = new AbortController()
    const remainingMs = request.deadlineAt - this._options.clock.now() + this._options.outcomeGraceMs
    this._options.clock.sleep(remainingMs, finished.signal).then(() => timeout.abort())
    try {
      const response = await dispatch(timeout.signal)
      ledger?.recordOutcome(attempt, OperationState.ANSWERED, this._codec.encode(response))
      return response
    } catch (error) {
      if (error instanceof MimosarockError && error.run === RunState.NOT_RUN) {
        ledger?.abandon(attempt)
        throw error
      }
      ledger?.recordOutcome(attempt, OperationState.IN_DOUBT)
      this._options.eventLog.warn('operation-in-doubt', { workspace: attempt.workspace, key: attempt.key, error: String(error) })
      throw outcomeUnknownError(error)
    } finally {
      finished.abort()
    }
  }

  private _responseFromLedger (result: BeginResult): KeyedResponse {
    const answer = result.operation?.answer
    if (result.outcome === BeginOutcome.ANSWERED && answer !== undefined) return this._codec.decode(answer)
    throw errorForOutcome(result.outcome)
  }

  /** Ends the caller's wait at its deadline or when the caller disconnects, even if the call is still running. */
  private async _withinDeadline (request: KeyedRequest, attempt: OperationAttempt, running: Promise<KeyedResponse>, signal: AbortSignal): Promise<KeyedResponse> {
    const finished = new AbortController()
    const waitEnded = AbortSignal.any([finished.signal, signal])
    const remainingMs = Math.max(0, request.deadlineAt - this._options.clock.now())
    const expiry = this._options.clock.sleep(remainingMs, waitEnded).then(() => {
      throw outcomeUnknownError(signal.aborted ? 'the caller disconnected' : 'the deadline passed')
    })
    expiry.catch(() => {})
    running.catch((error: unknown) => {
      if (!finished.signal.aborted) return
      this._options.eventLog.info('operation-ended-late', { workspace: attempt.workspace, key: attempt.key, error: String(error) })
    })
    try {
      return await Promise.race([running, expiry])
    } finally {
      finished.abort()
    }
  }
}

function createAttempt (request: KeyedRequest, key: OperationKey): OperationAttempt {
  const digest = createHash('sha256')
  digest.update(`${request.method}\n${request.path}\n`)
  digest.update(request.body)
  return {
    attemptId: randomUUID(),
    key: key.value,
    keyTimeMs: key.timeMs,
    workspace: request.workspace,
    route: request.route.name,
    requestDigest: digest.digest()
  }
}

function toLedgerError (error: unknown): MimosarockError {
  if (error instanceof MimosarockError) return error
  return new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, 'the operation could not be recorded', { run: RunState.UNKNOWN, cause: error })
}

function outcomeUnknownError (cause: unknown): MimosarockError {
  return new MimosarockError(ResultCode.OUTCOME_UNKNOWN, 'it is unknown whether the call ran; retry with the same key', {
    run: RunState.UNKNOWN, retryAfterMs: IN_PROGRESS_RETRY_MS, cause
  })
}

function errorForOutcome (outcome: BeginOutcome): MimosarockError {
  switch (outcome) {
    case BeginOutcome.ANSWERED:
    case BeginOutcome.ANSWER_NOT_KEPT:
      return new MimosarockError(ResultCode.ANSWER_NOT_KEPT, 'the call ran, but its response was not stored', { run: RunState.RAN })
    case BeginOutcome.IN_DOUBT:
      return new MimosarockError(ResultCode.OPERATION_IN_DOUBT, 'it is unknown whether the call ran; the operation must be settled', { run: RunState.UNKNOWN })
    case BeginOutcome.KEY_REUSED:
      return new MimosarockError(ResultCode.KEY_REUSED, 'the Idempotency-Key was used for a different request', { field: 'idempotency-key' })
    case BeginOutcome.KEY_TOO_OLD:
      return new MimosarockError(ResultCode.KEY_TOO_OLD, 'the Idempotency-Key is older than the ledger\'s window', { field: 'idempotency-key' })
    case BeginOutcome.NOT_RUN:
      return new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, 'another attempt with this key was abandoned; retry the call', { retryAfterMs: IN_PROGRESS_RETRY_MS })
    default:
      return new MimosarockError(ResultCode.OPERATION_IN_PROGRESS, 'another attempt with this key is in progress', {
        run: RunState.UNKNOWN, retryAfterMs: IN_PROGRESS_RETRY_MS
      })
  }
}
