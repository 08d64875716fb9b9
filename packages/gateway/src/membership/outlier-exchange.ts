import type { FleetOutliers } from '../outliers/fleet-outliers.js'
import type { SyncAnswer } from './sync-answer.js'
import type { SyncRequest } from './sync-request.js'

/** The ejections that were received last. */
interface ReceivedEjections {
  readonly address: string
  readonly revision: string | undefined
  /** Revision of this router's ejections afterwards. */
  readonly localRevision: number
}

/** Reports answers of endpoints, and receives ejections, in the sync requests of one router. */
export class OutlierExchange {
  private readonly _outliers: FleetOutliers
  private _received: ReceivedEjections | undefined

  /**
   * @param outliers what this router knows
   */
  constructor (outliers: FleetOutliers) {
    this._outliers = outliers
  }

  /**
   * Returns what a request to the router that is followed includes.
   * @param address address of that router
   * @param followers names of the routers on whose behalf this router syncs
   */
  requestFields (address: string, followers: readonly string[]): Pick<SyncRequest, 'answers' | 'ejectionsRevision'> {
    const received = this._received
    const isKnown = received?.address === address && received.localRevision === this._outliers.revision
    return { answers: this._outliers.reportWith(followers), ejectionsRevision: isKnown ? received.revision : undefined }
  }

  /**
   * Applies the ejections of the router that is followed. One of an earlier version knows none.
   * @param address address of that router
   * @param answer its answer
   */
  applyFollowed (address: string, { name, ejections, ejectionsRevision }: SyncAnswer): void {
    if (ejectionsRevision === undefined) this._outliers.learn([], name)
    else if (ejections !== undefined) this._outliers.learn(ejections, name)
    else if (this._received?.address !== address || this._received.revision !== ejectionsRevision) return
    this._received = { address, revision: ejectionsRevision, localRevision: this._outliers.revision }
  }
}
