/** Temporary outage of an engine, which returns with an empty cache. */
export interface EngineOutage {
  /** Index of the engine. */
  readonly engine: number
  /** Start of the outage, in milliseconds since the start of the run. */
  readonly from: number
  /** End of the outage, in milliseconds since the start of the run. */
  readonly to: number
}
