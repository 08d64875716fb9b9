import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncRequest } from './sync-request.js'

/** Maximum number of changes in one message; the remaining ones follow in the next. */
const MAXIMUM_CHANGES = 500

/** Exchanges news about suspects, prompt parts and whole requests, in the sync requests of one router. */
export class QuarantineExchange {
  private readonly _quarantine: RequestQuarantine
  /** Positions reached in the news of other routers, by address. */
  private readonly _receivedCursors = new Map<string, string>()
  /** Positions up to which the news of this router were sent to other routers, by address. */
  private readonly _sentCursors = new Map<string, number>()

  /**
   * @param quarantine what this router knows
   */
  constructor (quarantine: RequestQuarantine) {
    this._quarantine = quarantine
  }

  /**
   * Returns what a request to a router includes, and what to call when it has been answered.
   * @param address address of the router
   */
  prepareRequest (address: string): { readonly fields: Pick<SyncRequest, 'quarantine' | 'quarantineCursor'>, readonly confirm: () => void } {
    const { notesForUpstream, cursor } = this._quarantine.notesSince(this._sentCursors.get(address) ?? 0, MAXIMUM_CHANGES)
    const hasNews = notesForUpstream.crashes.length > 0 || notesForUpstream.clearances.length > 0
    return {
      fields: { quarantine: hasNews ? notesForUpstream : undefined, quarantineCursor: this._receivedCursors.get(address) },
      confirm: () => { this._sentCursors.set(address, cursor) }
    }
  }

  /**
   * Applies the news in an answer.
   * @param address address of the router that answered
   * @param answer its answer
   * @param isFromUpstream whether this router follows that one
   */
  applyAnswer (address: string, { quarantine, quarantineCursor }: SyncAnswer, isFromUpstream: boolean): void {
    if (quarantine !== undefined) this._quarantine.apply(quarantine, isFromUpstream)
    if (quarantineCursor !== undefined) this._receivedCursors.set(address, quarantineCursor)
  }
}
