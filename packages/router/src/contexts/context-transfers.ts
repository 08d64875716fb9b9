import { readBoundedBody } from '@mimosarock/coordination/http/read-bounded-body.js'
import type { ContextTransfersOptions } from './context-transfers-options.js'

/** Multiple of the estimated transfer time after which an import is aborted. */
const TIMEOUT_FACTOR = 3
const MINIMUM_TIMEOUT_MS = 50
/** Maximum length of an engine's answer, which has two numbers, in bytes. */
const MAXIMUM_RESPONSE_BYTES = 65_536

/** Transfers the cached contexts of displaced chats between engines where that is cheaper than recomputing them. */
export class ContextTransfers {
  private readonly _options: ContextTransfersOptions
  private _transferredBytes = 0
  private _transferredContexts = 0

  /**
   * @param options dependencies and the transfer budget
   */
  constructor (options: ContextTransfersOptions) {
    this._options = options
  }

  /** Total bytes that engines have transferred for this router. */
  get transferredBytes (): number {
    return this._transferredBytes
  }

  /** Number of contexts that engines have transferred for this router. */
  get transferredContexts (): number {
    return this._transferredContexts
  }

  /**
   * Transfers a context if this is worthwhile and within the budget. Never throws: without the context the target
   * engine recomputes the prompt.
   * @param affinityKey affinity key of the chat, under which engines cache the context
   * @param tokens length of the context in tokens
   * @param source address of the engine that holds the context
   * @param target address of the engine that imports it
   * @param signal aborts the wait for the import
   * @returns whether the target holds the context now
   */
  async transfer (affinityKey: string, tokens: number, source: string, target: string, signal: AbortSignal): Promise<boolean> {
    const { cost, byteBudget, clock, eventLog } = this._options
    if (!cost.isWorthwhile(tokens) || !byteBudget.tryTake(cost.bytesOf(tokens))) return false
    const startedAt = clock.now()
    try {
      const timeoutMs = Math.max(MINIMUM_TIMEOUT_MS, cost.transferMs(tokens) * TIMEOUT_FACTOR)
      const imported = await this._import(affinityKey, source, target, timeoutMs, signal)
      cost.recordImport(imported.tokens, imported.bytes, clock.now() - startedAt)
      this._transferredBytes += imported.bytes
      if (imported.tokens > 0) this._transferredContexts += 1
      return imported.tokens > 0
    } catch (error) {
      eventLog.info('context-not-carried', { affinity_key: affinityKey, source, target, error: String(error) })
      return false
    }
  }

  private async _import (
    affinityKey: string, source: string, target: string, timeoutMs: number, signal: AbortSignal
  ): Promise<{ tokens: number, bytes: number }> {
    const response = await this._options.clients.get(target).send({
      method: 'POST',
      path: '/v1/kv/import',
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify({ cache_key: affinityKey, source })),
      firstByteTimeoutMs: timeoutMs,
      silenceTimeoutMs: timeoutMs
    }, AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)]))
    const body = await readBoundedBody(response.body, MAXIMUM_RESPONSE_BYTES)
    if (response.status !== 200) return { tokens: 0, bytes: 0 }
    const result = JSON.parse(body.toString()) as { tokens?: unknown, bytes?: unknown }
    return { tokens: Number(result.tokens) || 0, bytes: Number(result.bytes) || 0 }
  }
}
