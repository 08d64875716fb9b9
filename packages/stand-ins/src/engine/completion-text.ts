import { createHash } from 'node:crypto'

/** Multipliers of the 32-bit finalizer of MurmurHash3. */
const FIRST_MULTIPLIER = 0x85ebca6b
const SECOND_MULTIPLIER = 0xc2b2ae35

/**
 * Generates the completion text for a list of messages. The text depends only on the messages, which lets a caller
 * compute the expected text and compare it with the response.
 */
export class CompletionText {
  private readonly _seed: number

  /**
   * @param messages messages of the request, as parsed from JSON
   */
  constructor (messages: unknown) {
    this._seed = createHash('sha1').update(JSON.stringify(messages) ?? '').digest().readUInt32LE(0)
  }

  /**
   * Returns one token: a space and a word of letters and digits.
   * @param index position in the text, from 0
   */
  token (index: number): string {
    let hash = (this._seed + index) | 0
    hash = Math.imul(hash ^ (hash >>> 16), FIRST_MULTIPLIER)
    hash = Math.imul(hash ^ (hash >>> 13), SECOND_MULTIPLIER)
    return ` ${((hash ^ (hash >>> 16)) >>> 0).toString(36)}`
  }

  /**
   * Returns the text of a given length.
   * @param tokens length in tokens
   */
  text (tokens: number): string {
    let text = ''
    for (let index = 0; index < tokens; index += 1) text += this.token(index)
    return text
  }
}
