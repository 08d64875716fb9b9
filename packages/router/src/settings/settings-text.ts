import { parse } from 'ini'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { SettingLocation } from './setting-location.js'

const SECTION = /^\[([A-Za-z_]+)\]$/
const KEY = /^([A-Za-z_]+)\s*=/
const EMPTY_OR_COMMENT = /^\s*([;#].*)?$/

/** The text of a settings file, with the line of each section and key. */
export class SettingsText {
  private readonly _file: string
  private readonly _text: string
  private readonly _locations: readonly SettingLocation[]

  /**
   * @param text content of the file
   * @param file its name, for errors
   * @throws {MimosarockError} SETTINGS_SYNTAX, names the line
   */
  constructor (text: string, file: string) {
    this._file = file
    this._text = text
    this._locations = this._locate()
  }

  /** Values by section and key, as texts. */
  get values (): unknown {
    return parse(this._text)
  }

  /**
   * Text of a value, as it stands in the file.
   * @param section name of the section
   * @param key name of the key
   */
  valueOf (section: string, key: string): string {
    const line = this._text.split('\n')[(this.lineOf(section, key) ?? 0) - 1] ?? ''
    return line.slice(line.indexOf('=') + 1).trim()
  }

  /**
   * Line of a key, else of its section.
   * @param section name of the section
   * @param key name of the key
   * @returns undefined if neither is in the file
   */
  lineOf (section: string, key = ''): number | undefined {
    const inSection = this._locations.filter((location) => location.section === section)
    return (inSection.find((location) => location.key === key) ?? inSection[0])?.line
  }

  private _locate (): readonly SettingLocation[] {
    const locations: SettingLocation[] = []
    let section = ''
    this._text.split('\n').forEach((raw, index) => {
      const text = raw.trim()
      if (EMPTY_OR_COMMENT.test(text)) return
      const line = index + 1
      const key = KEY.exec(text)?.[1] ?? ''
      const opened = SECTION.exec(text)?.[1]
      section = opened ?? section
      if (opened === undefined && key === '') this._refuse(line, 'is neither a section, a key with a value, nor a comment')
      if (section === '') this._refuse(line, `the key ${key} stands in no section`)
      const twice = locations.find((location) => location.section === section && location.key === key)
      if (twice !== undefined) this._refuse(line, `[${section}] ${key} stands in line ${twice.line} already`)
      locations.push({ section, key, line })
    })
    return locations
  }

  private _refuse (line: number, problem: string): never {
    throw new MimosarockError(ResultCode.SETTINGS_SYNTAX, `${this._file} line ${line}: ${problem}`, { field: `line ${line}` })
  }
}
