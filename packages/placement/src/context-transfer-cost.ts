import type { ContextTransferCostOptions } from './context-transfer-cost-options.js'

/** Weight of a new import in the exponential moving averages. */
const SAMPLE_WEIGHT = 0.1
/** Maximum transfer time as a share of the prefill time; below 1 because transferred bytes also cost money. */
const MAXIMUM_TRANSFER_SHARE = 0.5

/**
 * Estimates whether transferring a context between engines is cheaper than recomputing it. Each measured import
 * updates the estimates.
 */
export class ContextTransferCost {
  private readonly _options: ContextTransferCostOptions
  private _bytesPerToken: number
  private _linkBytesPerMs: number

  /**
   * @param options initial estimates
   */
  constructor (options: ContextTransferCostOptions) {
    this._options = options
    this._bytesPerToken = options.bytesPerToken
    this._linkBytesPerMs = options.linkBytesPerMs
  }

  /**
   * Returns the estimated size of a context, in bytes.
   * @param tokens length of the context, in tokens
   */
  bytesOf (tokens: number): number {
    return tokens * this._bytesPerToken
  }

  /**
   * Returns the estimated time to transfer a context, in milliseconds.
   * @param tokens length of the context, in tokens
   */
  transferMs (tokens: number): number {
    return this._options.fixedMs + this.bytesOf(tokens) / this._linkBytesPerMs
  }

  /**
   * Returns whether transferring a context is worth its time and bandwidth, compared with recomputing it.
   * @param tokens length of the context, in tokens
   */
  isWorthwhile (tokens: number): boolean {
    return this.transferMs(tokens) <= tokens * this._options.prefillMsPerToken * MAXIMUM_TRANSFER_SHARE
  }

  /**
   * Updates the estimates with a completed import. Imports without tokens or bytes are ignored.
   * @param tokens number of tokens transferred
   * @param bytes size of the transferred cache, in bytes
   * @param ms duration of the import, in milliseconds
   */
  recordImport (tokens: number, bytes: number, ms: number): void {
    if (tokens <= 0 || bytes <= 0) return
    this._bytesPerToken += (bytes / tokens - this._bytesPerToken) * SAMPLE_WEIGHT
    const rate = bytes / Math.max(ms - this._options.fixedMs, 1)
    this._linkBytesPerMs += (rate - this._linkBytesPerMs) * SAMPLE_WEIGHT
  }
}
