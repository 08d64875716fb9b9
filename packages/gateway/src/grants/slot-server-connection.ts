import {
  createJSONRPCErrorResponse, createJSONRPCNotification, createJSONRPCSuccessResponse, isJSONRPCID, isJSONRPCRequest, JSONRPCErrorCode, type JSONRPCID
} from 'json-rpc-2.0'
import type { LineWriter } from './line-writer.js'
import { parseLine } from './parse-line.js'
import type { SlotHolder } from './slot-holder.js'
import { SlotMethod } from './slot-method.js'
import type { SlotOwners } from './slot-owners.js'
import { readSlotRelease } from './read-slot-release.js'
import { readSlotRequest } from './read-slot-request.js'
import type { SlotRequest } from './slot-request.js'
import type { SlotTicket } from './slot-ticket.js'

/** Connection of a router to this one, as the slot owner sees it: reads and writes messages, one a line. */
export class SlotServerConnection {
  private readonly _owners: SlotOwners
  private readonly _holder: SlotHolder
  private readonly _writer: LineWriter
  private readonly _tickets = new Map<JSONRPCID, SlotTicket>()

  /**
   * @param owners services whose slots this router owns
   * @param writer writes lines to the connection
   * @param name name of the other router, or its address
   */
  constructor (owners: SlotOwners, writer: LineWriter, name: string) {
    this._owners = owners
    this._writer = writer
    this._holder = { name }
  }

  /**
   * Handles a line.
   * @param line the line, without its end
   * @returns false if it is malformed; the connection is to be closed after the answer was written
   */
  receive (line: string): boolean {
    const message = parseLine(line)
    if (message === undefined) return this._reject(null, JSONRPCErrorCode.ParseError, 'the line is not JSON')
    if (!isJSONRPCRequest(message)) return this._reject(null, JSONRPCErrorCode.InvalidRequest, 'the line is no request of JSON-RPC 2.0')
    const { method, id, params } = message
    if (method === SlotMethod.REQUEST) return this._request(id ?? null, params)
    if (method === SlotMethod.CANCEL) return this._cancel((params as { readonly id?: unknown } | undefined)?.id)
    if (method === SlotMethod.RELEASE) return this._release(params)
    return this._reject(id ?? null, JSONRPCErrorCode.MethodNotFound, `there is no method ${method}`)
  }

  /** Handles the end of the connection. */
  end (): void {
    this._tickets.clear()
    this._owners.holderLost(this._holder)
  }

  private _request (id: JSONRPCID, params: unknown): boolean {
    const request = readSlotRequest(params)
    if (request === undefined || id === null) return this._reject(id, JSONRPCErrorCode.InvalidParams, 'the request for a slot is not valid')
    const ticket = this._ask(id, request)
    if (ticket !== undefined) this._tickets.set(id, ticket)
    return true
  }

  private _ask (id: JSONRPCID, request: SlotRequest): SlotTicket | undefined {
    return this._owners.request(this._holder, request, {
      queued: (expectedMs) => this._writer.send(createJSONRPCNotification(SlotMethod.QUEUED, { id, expectedMs: Math.round(expectedMs) })),
      granted: (grant) => {
        this._tickets.delete(id)
        this._writer.send(createJSONRPCSuccessResponse(id, grant))
      },
      refused: ({ code, message, retryAfterMs }) => {
        this._tickets.delete(id)
        this._writer.send(createJSONRPCErrorResponse(id, code, message, { retryAfterMs }))
      },
      lost: () => undefined
    })
  }

  private _cancel (id: unknown): boolean {
    if (!isJSONRPCID(id)) return this._reject(null, JSONRPCErrorCode.InvalidParams, 'the id of the request is not valid')
    this._tickets.get(id)?.cancel()
    this._tickets.delete(id)
    return true
  }

  private _release (params: unknown): boolean {
    const release = readSlotRelease(params)
    if (release === undefined) return this._reject(null, JSONRPCErrorCode.InvalidParams, 'the release is not valid')
    this._owners.release(release)
    return true
  }

  private _reject (id: JSONRPCID, code: JSONRPCErrorCode, message: string): boolean {
    this._writer.send(createJSONRPCErrorResponse(id, code, message))
    return false
  }
}
