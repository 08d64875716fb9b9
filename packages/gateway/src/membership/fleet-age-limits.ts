import type { AgeLimits } from './age-limits.js'

/** How old a router's copies of what the store holds may become. */
export interface FleetAgeLimits {
  /** Limits of the endpoints. */
  readonly endpoints: AgeLimits
  /** Limits of the configuration and the evacuations, which are read with it. */
  readonly configuration: AgeLimits
}
