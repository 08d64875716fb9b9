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
import type { KeyedAnswer } from './keyed-answer.js'
import type { KeyedCallOptions } from './keyed-call-options.js'
import type { KeyedDispatch } from './keyed-dispatch.js'
import type { KeyedRequest } from './keyed-request.js'
import { StoredAnswers } from './stored-answers.js'

/** When a caller should ask again for an operation in progress. */
const IN_PROGRESS_RETRY_MS = 500

/**
 * Runs calls that may run at most once. The key is won in the ledger before the dispatch; whatever happens
 * afterwards is recorded for the attempt that won it.
 *
 * @example
 * const answer = await keyedCall.run(request, (signal) => dispatchWhole(call, signal), callerGone)
 */
export class KeyedCall {
  private readonly _options: KeyedCallOptions
  private readonly _answers: StoredAnswers

  /**
   * @param options what the calls work with
   */
  constructor (options: KeyedCallOptions) {
    this._options = options
    this._answers = new StoredAnswers(options.maximumKeptAnswerBytes)
  }

  /**
   * Runs one call, or finds out what became of its key.
   * @param request the caller's call
   * @param dispatch sends the call; called at most once
   * @param signal aborts when the caller is given up on or has gone: `run` then ends at once, and a dispatch
   * that has started goes on so that its outcome is recorded
   * @returns the endpoint's answer, or the one recorded for the key
   * @throws {MimosarockError} KEY_MISSING, KEY_INVALID, KEY_TOO_OLD, KEY_IN_FUTURE, KEY_REUSED,
   * OPERATION_IN_PROGRESS, OPERATION_IN_DOUBT, ANSWER_NOT_KEPT, LEDGER_UNAVAILABLE, OUTCOME_UNKNOWN,
   * DEADLINE_CANNOT_BE_MET, CALLER_GONE, or what the dispatch threw as not run
   */
  async run (request: KeyedRequest, dispatch: KeyedDispatch, signal: AbortSignal): Promise<KeyedAnswer> {
    const key = OperationKey.parse(request.key, request.keyTime)
    const ledger = this._options.ledgerFor(request.workspace, key.value)
    const attempt = attemptOf(request, key)
    const known = ledger.get(attempt.workspace, attempt.key)
    if (known === undefined) key.checkAge(this._options.clock.wallNow(), this._options.keyWindowMs)
    if (known === undefined || known.state === OperationState.NOT_RUN) {
      // An intent and its withdrawal cost two records; repeated calls must not write them while nothing can run.
      const refusal = request.reasonNotToBegin?.()
      if (refusal !== undefined) throw refusal
    }
    const running = this._beginAndDispatch(request, attempt, ledger, dispatch, signal)
    return await this._withinDeadline(request, attempt, running, signal)
  }

  private async _beginAndDispatch (request: KeyedRequest, attempt: OperationAttempt, ledger: OperationLedger, dispatch: KeyedDispatch, signal: AbortSignal): Promise<KeyedAnswer> {
    const sentAt = this._options.clock.now()
    let result: BeginResult
    try {
      result = await ledger.begin(attempt)
    } catch (error) {
      return await this._withoutLedger(request, attempt, ledger, dispatch, signal, error)
    }
    if (result.outcome === BeginOutcome.IN_PROGRESS) result = await this._awaitOutcome(request, attempt, ledger, signal)
    if (result.outcome !== BeginOutcome.WON) return this._answerFromLedger(result)
    const refusal = this._reasonNotToDispatch(request, sentAt, signal)
    if (refusal !== undefined) {
      ledger.abandon(attempt)
      throw refusal
    }
    return await this._dispatch(request, attempt, ledger, dispatch)
  }

  /**
   * Waits a little for the outcome of another call with the key: a caller that repeats itself at once through
   * another router usually finds the outcome on its way to the log.
   */
  private async _awaitOutcome (request: KeyedRequest, attempt: OperationAttempt, ledger: OperationLedger, signal: AbortSignal): Promise<BeginResult> {
    const remainingMs = request.deadlineAt - this._options.clock.now() - this._options.minimumRemainingMs
    const waitMs = Math.max(0, Math.min(this._options.inProgressWaitMs, remainingMs))
    const operation = await ledger.waitForOutcome(attempt.workspace, attempt.key, waitMs, signal)
    // A key that was given back as not run is left to the caller's next try, which wins it anew.
    if (operation?.state !== OperationState.ANSWERED && operation?.state !== OperationState.IN_DOUBT) {
      return { outcome: BeginOutcome.IN_PROGRESS, operation }
    }
    return await ledger.begin(attempt)
  }

  /** The ledger did not confirm the intent: refuses, or passes on where the endpoint refuses repeats itself. */
  private async _withoutLedger (request: KeyedRequest, attempt: OperationAttempt, ledger: OperationLedger, dispatch: KeyedDispatch, signal: AbortSignal, error: unknown): Promise<KeyedAnswer> {
    const refused = asLedgerError(error)
    const mayBeFolded = refused.run !== RunState.NOT_RUN
    const refusal = request.route.endpointRefusesRepeats
      ? this._reasonNotToDispatch(request, this._options.clock.now(), signal)
      : new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, refused.message, { retryAfterMs: refused.retryAfterMs, cause: error })
    if (refusal === undefined) return await this._dispatch(request, attempt, mayBeFolded ? ledger : undefined, dispatch)
    if (mayBeFolded) ledger.abandon(attempt)
    throw refusal
  }

  /** Tells why a won key must not be dispatched any more; nothing may await between this and the dispatch. */
  private _reasonNotToDispatch (request: KeyedRequest, sentAt: number, signal: AbortSignal): MimosarockError | undefined {
    const now = this._options.clock.now()
    if (signal.aborted) return new MimosarockError(ResultCode.CALLER_GONE, 'the caller has gone')
    if (now - sentAt > this._options.dispatchWindowMs) {
      return new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, 'the operation was confirmed too late to be run', { retryAfterMs: IN_PROGRESS_RETRY_MS })
    }
    if (request.deadlineAt - now < this._options.minimumRemainingMs) {
      return new MimosarockError(ResultCode.DEADLINE_CANNOT_BE_MET, 'too little time is left to run the operation')
    }
    return undefined
  }

  private async _dispatch (request: KeyedRequest, attempt: OperationAttempt, ledger: OperationLedger | undefined, dispatch: KeyedDispatch): Promise<KeyedAnswer> {
    const ended = new AbortController()
    const finished = new AbortController()
    const remainingMs = request.deadlineAt - this._options.clock.now() + this._options.outcomeGraceMs
    this._options.clock.sleep(remainingMs, finished.signal).then(() => ended.abort())
    try {
      const answer = await dispatch(ended.signal)
      ledger?.recordOutcome(attempt, OperationState.ANSWERED, this._answers.pack(answer))
      return answer
    } catch (error) {
      if (error instanceof MimosarockError && error.run === RunState.NOT_RUN) {
        ledger?.abandon(attempt)
        throw error
      }
      ledger?.recordOutcome(attempt, OperationState.IN_DOUBT)
      this._options.eventLog.warn('operation-in-doubt', { workspace: attempt.workspace, key: attempt.key, error: String(error) })
      throw outcomeUnknown(error)
    } finally {
      finished.abort()
    }
  }

  private _answerFromLedger (result: BeginResult): KeyedAnswer {
    const answer = result.operation?.answer
    if (result.outcome === BeginOutcome.ANSWERED && answer !== undefined) return this._answers.unpack(answer)
    throw refusalFor(result.outcome)
  }

  /** Ends the caller's wait at its deadline or when it has gone, whatever the call still does. */
  private async _withinDeadline (request: KeyedRequest, attempt: OperationAttempt, running: Promise<KeyedAnswer>, signal: AbortSignal): Promise<KeyedAnswer> {
    const finished = new AbortController()
    const givenUp = AbortSignal.any([finished.signal, signal])
    const remainingMs = Math.max(0, request.deadlineAt - this._options.clock.now())
    const late = this._options.clock.sleep(remainingMs, givenUp).then(() => {
      throw outcomeUnknown(signal.aborted ? 'the caller was given up on' : 'the deadline passed')
    })
    late.catch(() => {})
    running.catch((error: unknown) => {
      if (!finished.signal.aborted) return
      this._options.eventLog.info('operation-ended-late', { workspace: attempt.workspace, key: attempt.key, error: String(error) })
    })
    try {
      return await Promise.race([running, late])
    } finally {
      finished.abort()
    }
  }
}

function attemptOf (request: KeyedRequest, key: OperationKey): OperationAttempt {
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

function asLedgerError (error: unknown): MimosarockError {
  if (error instanceof MimosarockError) return error
  return new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, 'the operation could not be recorded', { run: RunState.UNKNOWN, cause: error })
}

function outcomeUnknown (cause: unknown): MimosarockError {
  return new MimosarockError(ResultCode.OUTCOME_UNKNOWN, 'it can not be told whether the call ran; ask again with the same key', {
    run: RunState.UNKNOWN, retryAfterMs: IN_PROGRESS_RETRY_MS, cause
  })
}

function refusalFor (outcome: BeginOutcome): MimosarockError {
  switch (outcome) {
    case BeginOutcome.ANSWERED:
    case BeginOutcome.ANSWER_NOT_KEPT:
      return new MimosarockError(ResultCode.ANSWER_NOT_KEPT, 'the call ran; its answer is not kept', { run: RunState.RAN })
    case BeginOutcome.IN_DOUBT:
      return new MimosarockError(ResultCode.OPERATION_IN_DOUBT, 'it can not be told whether the call ran; it waits to be settled', { run: RunState.UNKNOWN })
    case BeginOutcome.KEY_REUSED:
      return new MimosarockError(ResultCode.KEY_REUSED, 'the Idempotency-Key stands for another request', { field: 'idempotency-key' })
    case BeginOutcome.KEY_TOO_OLD:
      return new MimosarockError(ResultCode.KEY_TOO_OLD, 'the Idempotency-Key is older than the ledger\'s window', { field: 'idempotency-key' })
    case BeginOutcome.NOT_RUN:
      return new MimosarockError(ResultCode.LEDGER_UNAVAILABLE, 'another attempt was given up on; try again', { retryAfterMs: IN_PROGRESS_RETRY_MS })
    default:
      return new MimosarockError(ResultCode.OPERATION_IN_PROGRESS, 'another attempt with this key is in progress', {
        run: RunState.UNKNOWN, retryAfterMs: IN_PROGRESS_RETRY_MS
      })
  }
}
