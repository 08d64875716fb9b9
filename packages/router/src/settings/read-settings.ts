import { readFileSync } from 'node:fs'
import type { z } from 'zod'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { checkPlainText } from './check-plain-text.js'
import { RouterSettings } from './router-settings.js'
import { SettingsText } from './settings-text.js'

function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (cause) {
    throw new MimosarockError(ResultCode.SETTINGS_FILE_UNREADABLE, `settings file ${file} can't be read`, { field: file, cause })
  }
}

function toSettingsError (issue: z.core.$ZodIssue, text: SettingsText, file: string): MimosarockError {
  const [section = '', pathKey = ''] = issue.path.map(String)
  const key = issue.code === 'unrecognized_keys' ? issue.keys[0] ?? '' : pathKey
  // At the top level an unrecognized key is a section.
  const name = section === '' ? `[${key}]` : `[${section}]${key === '' ? '' : ` ${key}`}`
  const line = section === '' ? text.lineOf(key) : text.lineOf(section, key)
  const location = line === undefined ? file : `${file} line ${line}`
  const options = { field: name }
  if (issue.code === 'unrecognized_keys') {
    const kind = section === '' ? 'section' : 'key'
    return new MimosarockError(ResultCode.SETTINGS_UNKNOWN_KEY, `${location}: there is no ${kind} ${name}`, options)
  }
  if (issue.code === 'invalid_type' && issue.input === undefined) {
    return new MimosarockError(ResultCode.SETTINGS_MISSING_KEY, `${location}: ${name} is required`, options)
  }
  const problem = issue.message.replace(/^Invalid (input|string): /, '')
  return new MimosarockError(ResultCode.SETTINGS_INVALID_VALUE, `${location}: ${name} is ${text.rawValueOf(section, key)}: ${problem}`, options)
}

/**
 * Reads and validates a settings file.
 * @param file path of the INI file
 * @returns the settings with their defaults filled in
 * @throws {MimosarockError} SETTINGS_FILE_UNREADABLE, SETTINGS_SYNTAX, SETTINGS_UNKNOWN_KEY,
 * SETTINGS_INVALID_VALUE, SETTINGS_MISSING_KEY or PLAIN_TEXT_REFUSED; the message names the key and the line or section
 */
export function readSettings (file: string): RouterSettings {
  const text = new SettingsText(readText(file), file)
  const result = RouterSettings.safeParse(text.values, { reportInput: true })
  if (result.success) {
    checkPlainText(result.data)
    return result.data
  }
  const errors = result.error.issues.map((issue) => toSettingsError(issue, text, file))
  // An unknown key is often the misspelled form of a missing key, so the unknown one is reported first.
  const first = errors.find((error) => error.code === ResultCode.SETTINGS_UNKNOWN_KEY) ?? errors[0]
  throw first ?? new MimosarockError(ResultCode.SETTINGS_INVALID_VALUE, `${file} is not valid`)
}
