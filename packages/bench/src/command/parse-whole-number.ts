import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Reads a whole number of 0 or more from the command line.
 * @param option name of the option, for the error
 * @param text what was given
 * @throws {MimosarockError} COMMAND_LINE_INVALID
 */
export function parseWholeNumber (option: string, text: string): number {
  if (/^\d{1,15}$/.test(text)) return Number(text)
  throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, `--${option} must be a whole number, not ${text}`, { field: option })
}
