/** Age above which an answer no longer tells anything about what was answered. */
const MAXIMUM_AGE_MS = 600_000

/** When endpoints last answered requests with each suspect, a prompt part or a whole request. */
export class RecentAnswers {
  private readonly _answeredAt = new Map<string, number>()
  private readonly _maximum: number

  /**
   * @param maximum maximum number of suspects, the least recently answered of which are forgotten first; each takes about 100 bytes
   */
  constructor (maximum: number) {
    this._maximum = maximum
  }

  /**
   * Records an answer.
   * @param id id of the suspect
   * @param at time of the answer
   */
  record (id: string, at: number): void {
    const known = this._answeredAt.get(id) ?? -Infinity
    this._answeredAt.delete(id)
    this._answeredAt.set(id, Math.max(known, at))
    if (this._answeredAt.size > this._maximum) this._answeredAt.delete(this._answeredAt.keys().next().value as string)
  }

  /**
   * Returns when a suspect was last answered; undefined if that is unknown or long ago.
   * @param id id of the suspect
   * @param now current time
   */
  lastAnswer (id: string, now: number): number | undefined {
    const at = this._answeredAt.get(id)
    return at === undefined || now - at > MAXIMUM_AGE_MS ? undefined : at
  }
}
