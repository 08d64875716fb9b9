import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Reads an option that takes one of a few words.
 * @param option the option's name
 * @param text its value; undefined if it was not given
 * @param choices values by word
 * @param otherwise what counts if it was not given
 * @throws {MimosarockError} COMMAND_LINE_INVALID
 */
export function parseChoice<Value> (option: string, text: string | undefined, choices: Readonly<Record<string, Value>>, otherwise: Value): Value {
  if (text === undefined) return otherwise
  const found = Object.hasOwn(choices, text) ? choices[text] : undefined
  if (found !== undefined) return found
  throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, `${option} ${text}: not one of ${Object.keys(choices).join(', ')}`, { field: option })
}
