import type { OperatorRecord } from '../model/operator-record.js'
import type { StoreEra } from '../model/store-era.js'
import type { TopicPage } from '../model/topic-page.js'
import type { ZoneEvacuations } from './zone-evacuations.js'

/** Applies what was read of evacuations in the store. */
export class EvacuationReadings {
  private readonly _evacuations: ZoneEvacuations
  private readonly _storeEra: StoreEra
  /** Evacuated zones that the store holds, as of the last page. */
  private readonly _stored = new Set<string>()

  /**
   * @param evacuations evacuations to update
   * @param storeEra era of the store
   */
  constructor (evacuations: ZoneEvacuations, storeEra: StoreEra) {
    this._evacuations = evacuations
    this._storeEra = storeEra
  }

  /**
   * Applies a page.
   * @param page page of the topic of operator records
   * @param readAt time at which the read was sent
   */
  apply ({ changes, isSnapshot, nextPosition: { era, offset } }: TopicPage<OperatorRecord>, readAt: number): void {
    if (isSnapshot) this._stored.clear()
    for (const { value } of changes) {
      if (value === undefined || !('zone' in value)) continue
      if (value.isEvacuated) this._stored.add(value.zone)
      else this._stored.delete(value.zone)
    }
    const isSettled = era === this._storeEra.number && readAt >= this._storeEra.settledAt
    this._evacuations.recordReading({ era, offset, zones: [...this._stored].sort(), isSettled })
  }
}
