import type { CarryCostOptions } from './carry-cost-options.js'

/** Weight of a new import in the measured figures. */
const SAMPLE_WEIGHT = 0.1
/** Carrying must take at most this share of the time to compute: its bytes cost money as well. */
const WORTHWHILE_SHARE = 0.5

/** Decides whether moving a context between engines beats computing it again; learns from each import. */
export class CarryCost {
  private readonly _options: CarryCostOptions
  private _bytesPerToken: number
  private _linkBytesPerMs: number

  /**
   * @param options figures to start from
   */
  constructor (options: CarryCostOptions) {
    this._options = options
    this._bytesPerToken = options.bytesPerToken
    this._linkBytesPerMs = options.linkBytesPerMs
  }

  /**
   * Bytes of a context.
   * @param tokens its length in tokens
   */
  bytesOf (tokens: number): number {
    return tokens * this._bytesPerToken
  }

  /**
   * Time to carry a context, in milliseconds.
   * @param tokens its length in tokens
   */
  carryMs (tokens: number): number {
    return this._options.fixedMs + this.bytesOf(tokens) / this._linkBytesPerMs
  }

  /**
   * Whether carrying a context is worth its time and bytes.
   * @param tokens its length in tokens
   */
  isWorthwhile (tokens: number): boolean {
    return this.carryMs(tokens) <= tokens * this._options.prefillMsPerToken * WORTHWHILE_SHARE
  }

  /**
   * Learns from an import.
   * @param tokens tokens that were carried
   * @param bytes their size
   * @param ms how long the import took, in milliseconds
   */
  noteImport (tokens: number, bytes: number, ms: number): void {
    if (tokens <= 0 || bytes <= 0) return
    this._bytesPerToken += (bytes / tokens - this._bytesPerToken) * SAMPLE_WEIGHT
    const rate = bytes / Math.max(ms - this._options.fixedMs, 1)
    this._linkBytesPerMs += (rate - this._linkBytesPerMs) * SAMPLE_WEIGHT
  }
}
