import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { RunState } from '@mimosarock/schema/run-state.js'
import type { RouterEntry } from '../model/router-entry.js'
import { maximumWaitMs } from './maximum-wait-ms.js'
import { readSlotRequest } from './read-slot-request.js'
import type { SlotClientOptions } from './slot-client-options.js'
import { SlotLease } from './slot-lease.js'
import type { SlotLink } from './slot-link.js'
import { SlotOutcome } from './slot-outcome.js'
import { SlotOwnerStatus } from './slot-owner-status.js'
import type { SlotRefusal } from './slot-refusal.js'
import type { SlotRequest } from './slot-request.js'
import { SlotResult } from './slot-result.js'

/** Time within which an owner has to answer, if only that the request waits, in milliseconds. */
const ANSWER_MS = 75
/**
 * Time in which an answer that has arrived is read, in milliseconds. After a pause of this process, timers end before connections
 * are read.
 */
const READ_MS = 2
/** Time after the longest wait at the owner until its answer is no longer waited for, in milliseconds. */
const ANSWER_MARGIN_MS = 75

/** Requests slots from their owners on behalf of this router. */
export class SlotClient {
  private readonly _options: SlotClientOptions
  private readonly _statuses = new Map<string, SlotOwnerStatus>()

  /**
   * @param options owners and links to them
   */
  constructor (options: SlotClientOptions) {
    this._options = options
  }

  /**
   * Returns whether a service uses slot grants.
   * @param service name of the service
   */
  usesGrants (service: string): boolean {
    return this._options.ownership.usesGrants(service)
  }

  /**
   * Requests a slot.
   * @param request what is wanted
   * @param signal withdraws the request when aborted
   * @returns undefined if no owner decided about it in time; the request may then use this router's share
   * @throws MimosarockError if the owner refuses the request, or the signal is aborted; the request has not run
   */
  async acquire (request: SlotRequest, signal: AbortSignal): Promise<SlotLease | undefined> {
    const startedAt = this._options.clock.now()
    const owner = this._options.ownership.ownerOf(request.service)
    // A figure of the configuration may be no number. The owner would close the connection on it.
    const isValid = readSlotRequest(request) !== undefined
    const link = owner === undefined || !isValid ? undefined : this._linkTo(owner, request.service)
    if (owner === undefined || link === undefined) {
      this._options.onResult(request.service, SlotResult.FALLBACK, 0)
      return undefined
    }
    let result: SlotResult = SlotResult.FALLBACK
    try {
      const lease = await this._request(owner, link, request, signal)
      if (lease !== undefined) result = SlotResult.GRANTED
      return lease
    } catch (error) {
      result = (error as MimosarockError).code === ResultCode.CALLER_GONE ? SlotResult.CANCELLED : SlotResult.REFUSED
      throw error
    } finally {
      this._options.onResult(request.service, result, this._options.clock.now() - startedAt)
    }
  }

  private _linkTo (owner: RouterEntry, service: string): SlotLink | undefined {
    if (this._isSelf(owner)) return this._options.localLink
    const link = this._options.links.linkTo(owner)
    return link !== undefined && this._statusOf(owner).mayAsk(service, link.receivedCount) ? link : undefined
  }

  private async _request (owner: RouterEntry, link: SlotLink, request: SlotRequest, signal: AbortSignal): Promise<SlotLease | undefined> {
    const { clock } = this._options
    const status = this._statusOf(owner)
    const timeLimit = new AbortController()
    return await new Promise<SlotLease | undefined>((resolve, reject) => {
      let isSettled = false
      let isQueued = false
      const settle = (finish: () => void): void => {
        isSettled = true
        timeLimit.abort()
        finish()
      }
      const giveUp = (finish: () => void): void => {
        if (isSettled) return
        ticket.cancel()
        settle(finish)
      }
      const limit = (ms: number, onEnd: () => void): void => {
        clock.sleep(ms, timeLimit.signal).then(() => { if (!isSettled) onEnd() }, () => undefined)
      }
      const ticket = link.request(request, {
        queued: () => {
          status.recordAnswer()
          isQueued = true
          // The owner ends the wait by itself; this is in case its answer does not arrive.
          limit(maximumWaitMs(request) + ANSWER_MARGIN_MS, () => giveUp(() => resolve(undefined)))
        },
        granted: (grant) => {
          status.recordAnswer()
          const lease = new SlotLease(grant, owner.name, link, clock)
          if (isSettled) lease.release(SlotOutcome.UNUSED)
          else settle(() => resolve(lease))
        },
        refused: (refusal) => {
          if (refusal.code === ResultCode.NOT_OWNER) status.recordNotOwner(request.service)
          else status.recordAnswer()
          if (!isSettled) settle(() => refusal.code === ResultCode.OVERLOADED ? reject(overloadedError(refusal)) : resolve(undefined))
        },
        lost: () => { if (!isSettled) settle(() => resolve(undefined)) }
      })
      if (isSettled) return
      if (signal.aborted) return giveUp(() => reject(callerDisconnectedError()))
      signal.addEventListener('abort', () => giveUp(() => reject(callerDisconnectedError())), { once: true, signal: timeLimit.signal })
      limit(ANSWER_MS, () => limit(READ_MS, () => {
        if (isQueued) return
        giveUp(() => resolve(undefined))
        this._recordSilence(owner, link, status)
      }))
    })
  }

  private _recordSilence (owner: RouterEntry, link: SlotLink, status: SlotOwnerStatus): void {
    if (this._isSelf(owner)) return
    const isSkipped = status.recordSilence(link.receivedCount)
    const isReset = status.needsReset
    if (isSkipped || isReset) this._options.log.warn('slot-owner-silent', { owner: owner.name, reset: isReset })
    if (!isReset) return
    status.recordReset()
    this._options.links.reset(owner)
  }

  private _isSelf ({ name }: RouterEntry): boolean {
    return name === this._options.router
  }

  private _statusOf ({ name }: RouterEntry): SlotOwnerStatus {
    let status = this._statuses.get(name)
    if (status === undefined) {
      status = new SlotOwnerStatus(this._options.clock)
      this._statuses.set(name, status)
    }
    return status
  }
}

function overloadedError ({ message, retryAfterMs }: SlotRefusal): MimosarockError {
  return new MimosarockError(ResultCode.OVERLOADED, message, { run: RunState.NOT_RUN, retryAfterMs })
}

function callerDisconnectedError (): MimosarockError {
  return new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected while the request waited for a slot', { run: RunState.NOT_RUN })
}
