import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Parses an option or argument whose value is one of a fixed set of words.
 * @param option name of the option, for the error message
 * @param text value as given; undefined if the option was not given
 * @param choices results by word
 * @param defaultValue result if the option was not given
 * @throws {MimosarockError} COMMAND_LINE_INVALID if the value is not one of the words
 */
export function parseChoice<Value> (option: string, text: string | undefined, choices: Readonly<Record<string, Value>>, defaultValue: Value): Value {
  if (text === undefined) return defaultValue
  const chosen = Object.hasOwn(choices, text) ? choices[text] : undefined
  if (chosen !== undefined) return chosen
  throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, `${option} ${text}: not one of ${Object.keys(choices).join(', ')}`, { field: option })
}
