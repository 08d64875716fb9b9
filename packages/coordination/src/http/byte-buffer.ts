const EMPTY = Buffer.alloc(0)
/** Length of the first block, and the maximum length of one, in bytes. */
const MINIMUM_BLOCK_BYTES = 1_024
const MAXIMUM_BLOCK_BYTES = 65_536

/**
 * Bytes that arrive in parts and are needed together. The parts are copied into blocks that grow with what has arrived, so that memory and the time
 * for each byte do not depend on the length of the parts: a part that is kept itself takes over a hundred bytes, and keeps alive the whole read that it is a part of.
 */
export class ByteBuffer {
  private _blocks: Buffer[] = []
  private _length = 0
  private _capacity = 0
  /** Number of bytes that are used of the last block. */
  private _used = 0

  /** Number of bytes added since the last `take` or `clear`. */
  get length (): number {
    return this._length
  }

  /** Number of bytes that the blocks take: at most twice the length, or one block more than the length, or the first block. */
  get capacity (): number {
    return this._capacity
  }

  /**
   * Adds a copy of bytes.
   * @param part bytes; may be changed or discarded afterwards
   */
  append (part: Uint8Array): void {
    let position = 0
    while (position < part.length) {
      const block = this._blockWithRoom(part.length - position)
      const end = Math.min(part.length, position + block.length - this._used)
      block.set(position === 0 && end === part.length ? part : part.subarray(position, end), this._used)
      this._used += end - position
      this._length += end - position
      position = end
    }
  }

  /** Returns all bytes in one piece, and is empty then. */
  take (): Buffer {
    const bytes = this._join()
    this.clear()
    return bytes
  }

  /** Discards all bytes. */
  clear (): void {
    this._blocks = []
    this._length = 0
    this._capacity = 0
    this._used = 0
  }

  private _blockWithRoom (wantedBytes: number): Buffer {
    const last = this._blocks.at(-1)
    if (last !== undefined && this._used < last.length) return last
    const size = Math.min(MAXIMUM_BLOCK_BYTES, Math.max(MINIMUM_BLOCK_BYTES, this._length, wantedBytes))
    // A block from the pool that Node.js shares would keep the whole pool.
    const block = Buffer.allocUnsafeSlow(size)
    this._blocks.push(block)
    this._capacity += size
    this._used = 0
    return block
  }

  private _join (): Buffer {
    const [first] = this._blocks
    if (first === undefined) return EMPTY
    return this._blocks.length === 1 ? first.subarray(0, this._length) : Buffer.concat(this._blocks, this._length)
  }
}
