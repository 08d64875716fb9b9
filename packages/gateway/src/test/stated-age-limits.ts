import { createFleetAgeLimits } from '@mimosarock/gateway/membership/create-fleet-age-limits.js'
import { STATED_PROPAGATION_BOUNDS } from './stated-propagation-bounds.js'

/** Age limits of the small deployments. */
export const STATED_AGE_LIMITS = createFleetAgeLimits(STATED_PROPAGATION_BOUNDS)
