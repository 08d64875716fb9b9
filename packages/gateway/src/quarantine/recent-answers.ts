/** Maximum number of parts, the least recently answered of which are forgotten first; at about 100 bytes each they take 0.8 MB. */
const MAXIMUM_PARTS = 8_192
/** Age above which an answer no longer tells anything about the part. */
const MAXIMUM_AGE_MS = 600_000

/** When endpoints last began to answer a request with each prompt part. */
export class RecentAnswers {
  private readonly _answeredAt = new Map<string, number>()

  /**
   * Records an answer.
   * @param partId id of the part
   * @param at time at which it began
   */
  record (partId: string, at: number): void {
    const known = this._answeredAt.get(partId) ?? -Infinity
    this._answeredAt.delete(partId)
    this._answeredAt.set(partId, Math.max(known, at))
    if (this._answeredAt.size > MAXIMUM_PARTS) this._answeredAt.delete(this._answeredAt.keys().next().value as string)
  }

  /**
   * Returns when a request with a part was last answered; undefined if that is unknown or long ago.
   * @param partId id of the part
   * @param now current time
   */
  lastAnswer (partId: string, now: number): number | undefined {
    const at = this._answeredAt.get(partId)
    return at === undefined || now - at > MAXIMUM_AGE_MS ? undefined : at
  }
}
