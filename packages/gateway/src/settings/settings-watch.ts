import { stat } from 'node:fs/promises'

/** How often the file's age is read, in milliseconds; it changes by hand or by a rollout, and a signal says so as a rule. */
const CHECK_INTERVAL_MS = 10_000

/** Notices changes of the settings file that no signal tells of. */
export class SettingsWatch {
  private readonly _path: string
  private readonly _changed: () => void
  private _modifiedAt: number | undefined

  /**
   * @param path of the file
   * @param changed called when the file has changed
   */
  constructor (path: string, changed: () => void) {
    this._path = path
    this._changed = changed
  }

  /** Looks at the file now and then until the process ends. */
  start (): void {
    setInterval(() => { this.check().catch(() => undefined) }, CHECK_INTERVAL_MS).unref()
  }

  /** Looks at the file once. A file that is away for a moment is being replaced, and seen at the next look. */
  async check (): Promise<void> {
    const modifiedAt = await stat(this._path).then((found) => found.mtimeMs, () => undefined)
    if (modifiedAt === undefined) return
    const isChanged = this._modifiedAt !== undefined && modifiedAt !== this._modifiedAt
    this._modifiedAt = modifiedAt
    if (isChanged) this._changed()
  }
}
