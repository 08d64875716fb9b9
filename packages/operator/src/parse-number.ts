import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Reads the number of an option.
 * @param option the option's name
 * @param text its value; undefined if it was not given
 * @param otherwise what counts if it was not given
 * @throws {MimosarockError} COMMAND_LINE_INVALID
 */
export function parseNumber (option: string, text: string | undefined, otherwise: number): number {
  if (text === undefined) return otherwise
  const value = Number(text)
  if (text.trim() !== '' && Number.isFinite(value) && value >= 0) return value
  throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, `${option} ${text}: not a number that is 0 or more`, { field: option })
}
