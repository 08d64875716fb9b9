import type { RouterAddresses } from '@mimosarock/router/wiring/router-addresses.js'
import type { RouterProcess } from '@mimosarock/router/wiring/router-process.js'

/** Started router of a fleet, with the addresses that it listens on. */
export interface FleetRouter {
  readonly process: RouterProcess
  readonly addresses: RouterAddresses
}
