import { stat } from 'node:fs/promises'

/** Polling interval. Can be long because changes, made by hand or a rollout, are usually announced with a signal. */
const CHECK_INTERVAL_MS = 10_000

/** Detects changes of the settings file that are not announced with a signal, by polling its modification time. */
export class SettingsWatch {
  private readonly _path: string
  private readonly _onChange: () => void
  private _modifiedAt: number | undefined

  /**
   * @param path path of the file
   * @param onChange called when the file has changed
   */
  constructor (path: string, onChange: () => void) {
    this._path = path
    this._onChange = onChange
  }

  /** Polls the file until the process exits; does not keep the process running. */
  start (): void {
    setInterval(() => { this.check().catch(() => undefined) }, CHECK_INTERVAL_MS).unref()
  }

  /** Checks the file once. A missing file is ignored, since it is probably being replaced; a later check sees the new one. */
  async check (): Promise<void> {
    const modifiedAt = await stat(this._path).then((found) => found.mtimeMs, () => undefined)
    if (modifiedAt === undefined) return
    const isChanged = this._modifiedAt !== undefined && modifiedAt !== this._modifiedAt
    this._modifiedAt = modifiedAt
    if (isChanged) this._onChange()
  }
}
