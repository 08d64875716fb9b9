import xxhash, { type XXHashAPI } from 'xxhash-wasm'

/** xxHash functions in WebAssembly, which is compiled asynchronously. `load` must resolve before the first hash. */
export class LoadableHash {
  private _functions: XXHashAPI | undefined
  private _loading: Promise<void> | undefined

  /** Compiles the WebAssembly module on the first call. Resolves when the hash functions can be called. */
  load (): Promise<void> {
    this._loading ??= xxhash().then((functions) => { this._functions = functions })
    return this._loading
  }

  /**
   * Returns the 64-bit hash of a text.
   * @param text text to hash, encoded as UTF-8
   */
  h64 (text: string): bigint {
    return (this._functions as XXHashAPI).h64(text)
  }

  /**
   * Returns the 64-bit hash of a text as 16 hexadecimal digits.
   * @param text text to hash, encoded as UTF-8
   */
  h64ToString (text: string): string {
    return (this._functions as XXHashAPI).h64ToString(text)
  }

  /**
   * Returns the 32-bit hash of a byte array.
   * @param bytes bytes to hash
   */
  h32Raw (bytes: Uint8Array): number {
    return (this._functions as XXHashAPI).h32Raw(bytes)
  }
}
