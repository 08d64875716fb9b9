import type { EventLog } from '@mimosarock/coordination/event-log.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import type { ZoneEvacuations } from './zone-evacuations.js'

/** Warns once of each evacuated availability zone that no endpoint and no router is in, since its name may be wrong. */
export class UnknownZoneWarning {
  private readonly _evacuations: ZoneEvacuations
  private readonly _isZoneKnown: (zone: string) => boolean
  private readonly _log: EventLog
  private readonly _checked = new Set<string>()

  /**
   * @param evacuations evacuated zones
   * @param isZoneKnown returns whether an endpoint or a router is in a zone
   * @param log logs the warnings
   */
  constructor (evacuations: ZoneEvacuations, isZoneKnown: (zone: string) => boolean, log: EventLog) {
    this._evacuations = evacuations
    this._isZoneKnown = isZoneKnown
    this._log = log
    evacuations.listen({ zoneEvacuated: () => undefined, zoneRestored: (zone) => this._checked.delete(zone) })
  }

  /** Checks the zones that were not checked since their evacuation. To be called once endpoints and routers are known. */
  check (): void {
    for (const zone of this._evacuations.zones) {
      if (this._checked.has(zone)) continue
      this._checked.add(zone)
      if (!this._isZoneKnown(zone)) this._log.warn('zone-unknown', { code: ResultCode.ZONE_UNKNOWN, zone })
    }
  }
}
