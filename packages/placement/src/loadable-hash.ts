import xxhash, { type XXHashAPI } from 'xxhash-wasm'

/** xxHash functions, which need a moment to be compiled. */
export class LoadableHash {
  private _functions: XXHashAPI | undefined
  private _loading: Promise<void> | undefined

  /** Resolves when the functions can be called. */
  load (): Promise<void> {
    this._loading ??= xxhash().then((functions) => { this._functions = functions })
    return this._loading
  }

  /**
   * 64 bit hash of a text.
   * @param text to hash
   */
  h64 (text: string): bigint {
    return (this._functions as XXHashAPI).h64(text)
  }

  /**
   * The same as 16 hexadecimal digits.
   * @param text to hash
   */
  h64ToString (text: string): string {
    return (this._functions as XXHashAPI).h64ToString(text)
  }

  /**
   * 32 bit hash of bytes.
   * @param bytes to hash
   */
  h32Raw (bytes: Uint8Array): number {
    return (this._functions as XXHashAPI).h32Raw(bytes)
  }
}
