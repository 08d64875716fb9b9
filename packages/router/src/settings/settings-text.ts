import { parse } from 'ini'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { SettingLocation } from './setting-location.js'

const SECTION = /^\[([A-Za-z_]+)\]$/
const KEY = /^([A-Za-z_]+)\s*=/
const EMPTY_OR_COMMENT = /^\s*([;#].*)?$/

/** Text of a settings file, with the line numbers of its sections and keys. */
export class SettingsText {
  private readonly _file: string
  private readonly _text: string
  private readonly _locations: readonly SettingLocation[]

  /**
   * @param text content of the file
   * @param file name of the file, for error messages
   * @throws {MimosarockError} SETTINGS_SYNTAX; the message contains the line number
   */
  constructor (text: string, file: string) {
    this._file = file
    this._text = text
    this._locations = this._readLocations()
  }

  /** Values by section and key, as strings. */
  get values (): unknown {
    return parse(this._text)
  }

  /**
   * Returns a value as it is written in the file.
   * @param section name of the section
   * @param key name of the key
   */
  rawValueOf (section: string, key: string): string {
    const line = this._text.split('\n')[(this.lineOf(section, key) ?? 0) - 1] ?? ''
    return line.slice(line.indexOf('=') + 1).trim()
  }

  /**
   * Returns the line number of a key, or that of its section if the key is missing.
   * @param section name of the section
   * @param key name of the key; empty for the section header
   * @returns undefined if neither is in the file
   */
  lineOf (section: string, key = ''): number | undefined {
    const inSection = this._locations.filter((location) => location.section === section)
    return (inSection.find((location) => location.key === key) ?? inSection[0])?.line
  }

  private _readLocations (): readonly SettingLocation[] {
    const locations: SettingLocation[] = []
    let section = ''
    this._text.split('\n').forEach((rawLine, index) => {
      const text = rawLine.trim()
      if (EMPTY_OR_COMMENT.test(text)) return
      const line = index + 1
      const key = KEY.exec(text)?.[1] ?? ''
      const openedSection = SECTION.exec(text)?.[1]
      section = openedSection ?? section
      if (openedSection === undefined && key === '') this._throwSyntaxError(line, 'is neither a section, a key with a value, nor a comment')
      if (section === '') this._throwSyntaxError(line, `the key ${key} is outside any section`)
      const duplicate = locations.find((location) => location.section === section && location.key === key)
      if (duplicate !== undefined) this._throwSyntaxError(line, `[${section}] ${key} stands in line ${duplicate.line} already`)
      locations.push({ section, key, line })
    })
    return locations
  }

  private _throwSyntaxError (line: number, problem: string): never {
    throw new MimosarockError(ResultCode.SETTINGS_SYNTAX, `${this._file} line ${line}: ${problem}`, { field: `line ${line}` })
  }
}
