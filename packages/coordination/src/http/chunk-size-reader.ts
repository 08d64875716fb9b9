const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const SPACE = 32
const TAB = 9
const SEMICOLON = 59
const DIGIT_ZERO = 48
const LETTER_A = 97
/** Bit by which a capital letter differs from a small one. */
const SMALL_LETTER = 32
const RADIX = 16
const MAXIMUM_DIGITS = 8

/** Reads the line with the length of a chunk, byte by byte: there is one for each chunk, and chunks can be as short as a byte. */
export class ChunkSizeReader {
  private _size = 0
  private _digits = 0
  private _isSizeEnded = false
  private _isValid = true
  private _isComplete = false

  /** Whether the line has arrived to its end. */
  get isComplete (): boolean {
    return this._isComplete
  }

  /** Length of the chunk, in bytes; undefined if the line does not state one. */
  get size (): number | undefined {
    return this._isValid && this._digits > 0 ? this._size : undefined
  }

  /** Starts a new line. */
  reset (): void {
    this._size = 0
    this._digits = 0
    this._isSizeEnded = false
    this._isValid = true
    this._isComplete = false
  }

  /**
   * Reads the line, or a part of it.
   * @param bytes bytes as they arrived
   * @param start position of the line, or of the rest of it
   * @returns position after the line, or after the bytes
   */
  read (bytes: Buffer, start: number): number {
    for (let position = start; position < bytes.length; position += 1) {
      const byte = bytes[position] as number
      if (byte === LINE_FEED) {
        this._isComplete = true
        return position + 1
      }
      if (!this._isSizeEnded) this._readSize(byte)
    }
    return bytes.length
  }

  private _readSize (byte: number): void {
    const digit = digitOf(byte)
    if (digit === undefined) {
      this._isSizeEnded = true
      this._isValid &&= byte === SEMICOLON || byte === CARRIAGE_RETURN || byte === SPACE || byte === TAB
      return
    }
    this._size = this._size * RADIX + digit
    this._digits += 1
    this._isValid &&= this._digits <= MAXIMUM_DIGITS
  }
}

function digitOf (byte: number): number | undefined {
  const decimal = byte - DIGIT_ZERO
  if (decimal >= 0 && decimal < 10) return decimal
  const letter = (byte | SMALL_LETTER) - LETTER_A
  return letter >= 0 && letter < RADIX - 10 ? letter + 10 : undefined
}
