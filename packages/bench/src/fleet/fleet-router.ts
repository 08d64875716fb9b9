import type { RouterAddresses } from '@mimosarock/router/router-addresses.js'
import type { RouterProcess } from '@mimosarock/router/router-process.js'

/** A started router of a fleet. */
export interface FleetRouter {
  readonly process: RouterProcess
  readonly addresses: RouterAddresses
}
