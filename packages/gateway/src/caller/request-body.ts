import type { IncomingMessage } from 'node:http'
import { ByteBuffer } from '@mimosarock/coordination/http/byte-buffer.js'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { HeldConnection } from '../memory/held-connection.js'
import { notRunError } from './not-run-error.js'

/** Bound on the memory for the bodies of all requests, as far as one body is concerned. */
type BodyMemory = Pick<HeldConnection, 'holdBody' | 'onRefused' | 'completeBody'>

/**
 * Body of a request. It is collected from the moment on at which the request arrives: parts that wait in the request until it is authorized would each take
 * memory of their own.
 */
export class RequestBody {
  private readonly _maximumBytes: () => number
  private readonly _memory: BodyMemory
  private readonly _received = new ByteBuffer()
  private _heldBytes = 0
  private _problem: MimosarockError | undefined
  private _isComplete = false
  private _onEnd: () => void = () => undefined

  /**
   * Starts to collect the body.
   * @param request request of the caller
   * @param maximumBytes returns the maximum length of the body, in bytes
   * @param memory holds what has arrived of the body
   */
  constructor (request: IncomingMessage, maximumBytes: () => number, memory: BodyMemory) {
    this._maximumBytes = maximumBytes
    this._memory = memory
    const declaredBytes = Number(request.headers['content-length'] ?? 0)
    if (declaredBytes === 0 && request.headers['transfer-encoding'] === undefined) this._isComplete = true
    else if (declaredBytes > maximumBytes()) this._refuse(tooLarge(maximumBytes()))
    else this._collect(request)
  }

  /**
   * Waits for the end of the body and returns it. Call it once.
   * @throws MimosarockError if the body is longer than allowed, there is no memory for it, or the caller disconnects before its end
   */
  async read (): Promise<Buffer> {
    if (!this._isComplete && this._problem === undefined) await new Promise<void>((resolve) => { this._onEnd = resolve })
    if (this._problem !== undefined) throw this._problem
    return this._received.take()
  }

  /** Discards what has arrived, and what arrives later. */
  discard (): void {
    this._received.clear()
    this._refuse(new MimosarockError(ResultCode.CALLER_GONE, 'the request has ended'))
  }

  private _collect (request: IncomingMessage): void {
    this._memory.onRefused(() => this._refuse(noMemory()))
    request.on('data', (part: Buffer) => this._receive(part))
    request.on('end', () => this._complete())
    request.on('close', () => {
      if (!request.complete) this._refuse(new MimosarockError(ResultCode.CALLER_GONE, 'the caller disconnected before the request body was complete'))
    })
  }

  private _receive (part: Buffer): void {
    if (this._problem !== undefined) return
    const maximumBytes = this._maximumBytes()
    if (this._received.length + part.length > maximumBytes) return this._refuse(tooLarge(maximumBytes))
    this._received.append(part)
    const addedBytes = this._received.capacity - this._heldBytes
    this._heldBytes += addedBytes
    if (addedBytes > 0 && !this._memory.holdBody(addedBytes)) this._refuse(noMemory())
  }

  private _complete (): void {
    if (this._problem !== undefined) return
    this._isComplete = true
    this._memory.completeBody()
    this._onEnd()
  }

  private _refuse (problem: MimosarockError): void {
    if (this._isComplete || this._problem !== undefined) return
    this._problem = problem
    this._received.clear()
    this._onEnd()
  }
}

function noMemory (): MimosarockError {
  return notRunError(ResultCode.OVERLOADED, 'the router has no memory for the request body')
}

function tooLarge (maximumBytes: number): MimosarockError {
  return new MimosarockError(ResultCode.BODY_TOO_LARGE, `the request body exceeds ${maximumBytes} bytes`)
}
