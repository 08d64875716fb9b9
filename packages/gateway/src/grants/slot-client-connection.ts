import { createJSONRPCNotification, createJSONRPCRequest, isJSONRPCResponse, type JSONRPCID, type JSONRPCResponse } from 'json-rpc-2.0'
import type { ResultCode } from '@mimosarock/schema/result-code.js'
import type { LineWriter } from './line-writer.js'
import { parseLine } from './parse-line.js'
import type { SlotGrant } from './slot-grant.js'
import type { SlotLink } from './slot-link.js'
import type { SlotListener } from './slot-listener.js'
import { SlotMethod } from './slot-method.js'
import { SlotOutcome } from './slot-outcome.js'
import type { SlotRelease } from './slot-release.js'
import type { SlotRequest } from './slot-request.js'
import type { SlotTicket } from './slot-ticket.js'

/** Notification that a request waits. */
interface QueuedMessage {
  readonly method: typeof SlotMethod.QUEUED
  readonly params: { readonly id: JSONRPCID, readonly expectedMs: number }
}

/** Connection of this router to a slot owner: writes and reads messages, one a line. */
export class SlotClientConnection implements SlotLink {
  private readonly _writer: LineWriter
  private readonly _listeners = new Map<JSONRPCID, SlotListener>()
  private _lastId = 0
  private _isEnded = false
  private _receivedCount = 0

  /**
   * @param writer writes lines to the connection
   */
  constructor (writer: LineWriter) {
    this._writer = writer
  }

  get receivedCount (): number {
    return this._receivedCount
  }

  request (request: SlotRequest, listener: SlotListener): SlotTicket {
    this._lastId += 1
    const id = this._lastId
    this._listeners.set(id, listener)
    this._writer.send(createJSONRPCRequest(id, SlotMethod.REQUEST, request))
    return { cancel: () => this._cancel(id) }
  }

  release (release: SlotRelease): void {
    if (!this._isEnded) this._writer.send(createJSONRPCNotification(SlotMethod.RELEASE, release))
  }

  /**
   * Handles a line.
   * @param line the line, without its end
   * @returns false if it is malformed; the connection is to be closed
   */
  receive (line: string): boolean {
    this._receivedCount += 1
    const message = parseLine(line)
    if (isQueuedMessage(message)) {
      this._listeners.get(message.params.id)?.queued(message.params.expectedMs)
      return true
    }
    if (!isJSONRPCResponse(message)) return false
    return this._settle(message)
  }

  /** Handles the end of the connection. */
  end (): void {
    this._isEnded = true
    const listeners = [...this._listeners.values()]
    this._listeners.clear()
    for (const listener of listeners) listener.lost()
  }

  private _settle ({ id, result, error }: JSONRPCResponse): boolean {
    const listener = this._listeners.get(id)
    this._listeners.delete(id)
    if (error !== undefined) {
      const { retryAfterMs } = (error.data ?? {}) as { readonly retryAfterMs?: number }
      listener?.refused({ code: error.code as ResultCode, message: error.message, retryAfterMs })
      // An error without the id of a request means that the owner did not understand a message.
      return id !== null
    }
    const grant = result as SlotGrant
    if (!isGrant(grant)) return false
    // The request was withdrawn while the grant was in transit.
    if (listener === undefined) this.release({ grant: grant.grant, outcome: SlotOutcome.UNUSED, elapsedMs: 0 })
    else listener.granted(grant)
    return true
  }

  private _cancel (id: JSONRPCID): void {
    if (this._listeners.delete(id) && !this._isEnded) this._writer.send(createJSONRPCNotification(SlotMethod.CANCEL, { id }))
  }
}

function isQueuedMessage (message: unknown): message is QueuedMessage {
  const { method, params } = (message ?? {}) as Partial<QueuedMessage>
  return method === SlotMethod.QUEUED && Number.isFinite(params?.expectedMs)
}

function isGrant (value: unknown): boolean {
  const { grant, endpointId, startedAt, waitedMs } = (value ?? {}) as Partial<SlotGrant>
  return Number.isInteger(grant) && typeof endpointId === 'string' && Number.isFinite(startedAt) && Number.isFinite(waitedMs)
}
