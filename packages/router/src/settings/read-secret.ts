import { readFileSync } from 'node:fs'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/**
 * Reads a token, certificate or private key from the file or environment variable that the settings name.
 * @param key settings key, for error messages, which never contain the secret
 * @param file path of the file; empty if the settings name none
 * @param variable name of the environment variable; ignored if a file is given, empty if the settings name none
 * @returns the secret; undefined if the settings name neither
 * @throws {MimosarockError} SETTINGS_FILE_UNREADABLE or SETTINGS_MISSING_KEY
 */
export function readSecret (key: string, file: string, variable = ''): string | undefined {
  if (file === '' && variable === '') return undefined
  if (file === '') {
    const value = process.env[variable]
    if (value !== undefined && value !== '') return value
    throw new MimosarockError(ResultCode.SETTINGS_MISSING_KEY, `${key}: the environment variable ${variable} is not set`, { field: key })
  }
  try {
    return readFileSync(file, 'utf8')
  } catch (cause) {
    throw new MimosarockError(ResultCode.SETTINGS_FILE_UNREADABLE, `${key}: ${file} can't be read`, { field: key, cause })
  }
}
