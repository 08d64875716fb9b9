import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Parses the value of a command-line option as a whole number of 0 or more.
 * @param option name of the option without dashes, for the error message
 * @param text value as entered, at most 15 digits
 * @throws {MimosarockError} COMMAND_LINE_INVALID if the value is anything else
 */
export function parseWholeNumber (option: string, text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text)
  throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, `--${option} must be a whole number, not ${text}`, { field: option })
}
