/** Receives events about evacuations of availability zones. */
export interface EvacuationListener {
  /**
   * Called when an availability zone is evacuated.
   * @param zone name of the zone
   */
  zoneEvacuated (zone: string): void
  /**
   * Called when the evacuation of an availability zone has ended. Its endpoints may be cold.
   * @param zone name of the zone
   */
  zoneRestored (zone: string): void
}
