import { StringDecoder } from 'node:string_decoder'

/** Maximum length of a line, in characters; a request for a slot has some hundreds. */
const MAXIMUM_LENGTH = 65_536

/** Splits a stream of bytes into lines of text. */
export class LineReader {
  private readonly _decoder = new StringDecoder('utf8')
  private _rest = ''

  /**
   * Returns the lines that end in a part of the stream.
   * @param chunk next part
   * @returns undefined if a line is too long
   */
  push (chunk: Buffer): readonly string[] | undefined {
    const lines = (this._rest + this._decoder.write(chunk)).split('\n')
    this._rest = lines.pop() as string
    return this._rest.length > MAXIMUM_LENGTH || lines.some(({ length }) => length > MAXIMUM_LENGTH) ? undefined : lines
  }
}
