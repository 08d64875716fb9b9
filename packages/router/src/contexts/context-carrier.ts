import type { ContextCarrierOptions } from './context-carrier-options.js'

/** An import may take so many times as long as was reckoned with before it is given up. */
const PATIENCE = 3
const MINIMUM_TIMEOUT_MS = 50

/** Has engines fetch a displaced chat's cache from each other, where that is cheaper than to compute it again. */
export class ContextCarrier {
  private readonly _options: ContextCarrierOptions
  private _carriedBytes = 0
  private _carriedContexts = 0

  /**
   * @param options what it works with
   */
  constructor (options: ContextCarrierOptions) {
    this._options = options
  }

  /** Bytes that engines fetched for this router. */
  get carriedBytes (): number {
    return this._carriedBytes
  }

  /** Contexts that engines fetched for this router. */
  get carriedContexts (): number {
    return this._carriedContexts
  }

  /**
   * Carries a context if it is worth it. Never throws: without the context the engine computes the prompt.
   * @param affinityKey the chat's key, under which engines keep the context
   * @param tokens its length in tokens
   * @param source address of the engine that holds it
   * @param target address of the engine that is to get it
   * @param signal ends the wait
   * @returns whether the target has it now
   */
  async carry (affinityKey: string, tokens: number, source: string, target: string, signal: AbortSignal): Promise<boolean> {
    const { cost, bytes, clock, eventLog } = this._options
    if (!cost.isWorthwhile(tokens) || !bytes.tryTake(cost.bytesOf(tokens))) return false
    const startedAt = clock.now()
    try {
      const timeoutMs = Math.max(MINIMUM_TIMEOUT_MS, cost.transferMs(tokens) * PATIENCE)
      const carried = await this._import(affinityKey, source, target, timeoutMs, signal)
      cost.recordImport(carried.tokens, carried.bytes, clock.now() - startedAt)
      this._carriedBytes += carried.bytes
      if (carried.tokens > 0) this._carriedContexts += 1
      return carried.tokens > 0
    } catch (error) {
      eventLog.info('context-not-carried', { affinity_key: affinityKey, source, target, error: String(error) })
      return false
    }
  }

  private async _import (
    affinityKey: string, source: string, target: string, timeoutMs: number, signal: AbortSignal
  ): Promise<{ tokens: number, bytes: number }> {
    const answer = await this._options.clients.get(target).send({
      method: 'POST',
      path: '/v1/kv/import',
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify({ cache_key: affinityKey, source })),
      firstByteTimeoutMs: timeoutMs,
      silenceTimeoutMs: timeoutMs
    }, AbortSignal.any([signal, AbortSignal.timeout(timeoutMs)]))
    const chunks: Uint8Array[] = []
    for await (const chunk of answer.body) chunks.push(chunk)
    if (answer.status !== 200) return { tokens: 0, bytes: 0 }
    const result = JSON.parse(Buffer.concat(chunks).toString()) as { tokens?: unknown, bytes?: unknown }
    return { tokens: Number(result.tokens) || 0, bytes: Number(result.bytes) || 0 }
  }
}
