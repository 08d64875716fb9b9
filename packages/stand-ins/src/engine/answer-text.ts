import { createHash } from 'node:crypto'

/** Multipliers of the 32-bit integer mix of MurmurHash3's finalizer. */
const FIRST_MULTIPLIER = 0x85ebca6b
const SECOND_MULTIPLIER = 0xc2b2ae35

/** The deterministic answer to a request's messages, so that a caller can check its own whole answer. */
export class AnswerText {
  private readonly _seed: number

  /**
   * @param messages the request's messages, as parsed from JSON
   */
  constructor (messages: unknown) {
    this._seed = createHash('sha1').update(JSON.stringify(messages) ?? '').digest().readUInt32LE(0)
  }

  /**
   * One token of the answer: a space and a word of letters and digits.
   * @param index place in the answer, from 0
   */
  token (index: number): string {
    let mixed = (this._seed + index) | 0
    mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_MULTIPLIER)
    mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_MULTIPLIER)
    return ` ${((mixed ^ (mixed >>> 16)) >>> 0).toString(36)}`
  }

  /**
   * The whole answer.
   * @param tokens its length in tokens
   */
  text (tokens: number): string {
    let text = ''
    for (let index = 0; index < tokens; index += 1) text += this.token(index)
    return text
  }
}
