import type { RouterAddresses } from '@mimosarock/router/wiring/router-addresses.js'
import type { RouterProcess } from '@mimosarock/router/wiring/router-process.js'

/** A started router of a fleet. */
export interface FleetRouter {
  readonly process: RouterProcess
  readonly addresses: RouterAddresses
}
