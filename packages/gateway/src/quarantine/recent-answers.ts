import { LRUCache } from 'lru-cache'

/** Age above which an answer no longer tells anything about what was answered. */
const MAXIMUM_AGE_MS = 600_000

/** When endpoints last answered requests with each suspect, a prompt part or a whole request. */
export class RecentAnswers {
  private readonly _answeredAt: LRUCache<string, number>

  /**
   * @param maximum maximum number of suspects, the least recently answered of which are forgotten first; each takes about 100 bytes
   */
  constructor (maximum: number) {
    this._answeredAt = new LRUCache({ max: maximum })
  }

  /**
   * Records an answer.
   * @param id id of the suspect
   * @param at time of the answer
   */
  record (id: string, at: number): void {
    this._answeredAt.set(id, Math.max(this._answeredAt.get(id) ?? -Infinity, at))
  }

  /**
   * Returns when a suspect was last answered; undefined if that is unknown or long ago.
   * @param id id of the suspect
   * @param now current time
   */
  lastAnswer (id: string, now: number): number | undefined {
    const at = this._answeredAt.peek(id)
    return at === undefined || now - at > MAXIMUM_AGE_MS ? undefined : at
  }
}
