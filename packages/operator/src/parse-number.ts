import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Parses an option or argument whose value is a non-negative number.
 * @param option name of the option, for the error message
 * @param text value as given; undefined if the option was not given
 * @param defaultValue result if the option was not given
 * @throws {MimosarockError} COMMAND_LINE_INVALID if the value is not a finite number, or negative
 */
export function parseNumber (option: string, text: string | undefined, defaultValue: number): number {
  if (text === undefined) return defaultValue
  const value = Number(text)
  if (text.trim() !== '' && Number.isFinite(value) && value >= 0) return value
  throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, `${option} ${text}: not a number that is 0 or more`, { field: option })
}
