import type { OwnershipHandover } from './owner/ownership-handover.js'
import type { Retirements } from './owner/retirements.js'
import type { TrackedDispatch } from './owner/tracked-dispatch.js'

/** The parts of a router that retire its endpoints and hand them over. */
export interface OwnedEndpointParts {
  /** Runs calls at this router's endpoints and knows which run. */
  readonly dispatch: TrackedDispatch
  readonly retirements: Retirements
  readonly handover: OwnershipHandover
}
