import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { StoreEra } from '../model/store-era.js'
import type { TopicPage } from '../model/topic-page.js'
import type { EndpointTable } from './endpoint-table.js'
import type { Freshness } from './freshness.js'
import type { OutageDetector } from './outage-detector.js'

/** Applies what was read of the endpoints in the store. */
export class EndpointReadings {
  private readonly _endpoints: EndpointTable
  private readonly _freshness: Freshness
  private readonly _outageDetector: OutageDetector
  private readonly _storeEra: StoreEra

  /**
   * @param endpoints table to update
   * @param freshness time of the last reading, which is updated
   * @param outageDetector detects outages in which entries lapse
   * @param storeEra era of the store
   */
  constructor (endpoints: EndpointTable, freshness: Freshness, outageDetector: OutageDetector, storeEra: StoreEra) {
    this._endpoints = endpoints
    this._freshness = freshness
    this._outageDetector = outageDetector
    this._storeEra = storeEra
    storeEra.onChange(() => endpoints.storeEraChanged())
  }

  /**
   * Applies a page.
   * @param page page of the topic of endpoints
   * @param readAt time at which the read was sent
   */
  apply (page: TopicPage<EndpointEntry>, readAt: number): void {
    this._outageDetector.recordRead(this._freshness.verifiedAt)
    const { gracePeriodEnd } = this._outageDetector
    if (page.isSnapshot) this._endpoints.replace(page.changes.flatMap((change) => change.value ?? []), this._snapshotGracePeriodEnd(gracePeriodEnd))
    else this._endpoints.apply(page.changes, gracePeriodEnd)
    this._freshness.verifiedAt = readAt
  }

  /** An endpoint that an older copy lacks may have registered since that copy was made. */
  private _snapshotGracePeriodEnd (outageGracePeriodEnd: number | undefined): number | undefined {
    if (!this._storeEra.isSettling) return outageGracePeriodEnd
    return Math.max(outageGracePeriodEnd ?? -Infinity, this._storeEra.settledAt)
  }
}
