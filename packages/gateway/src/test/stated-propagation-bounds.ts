import type { PropagationBounds } from '@mimosarock/gateway/membership/propagation-bounds.js'

/** Bounds of the small deployments. */
export const STATED_PROPAGATION_BOUNDS: PropagationBounds = { endpointsMs: 2_000, configurationMs: 2_000 }
