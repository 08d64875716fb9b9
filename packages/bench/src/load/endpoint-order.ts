import type { ModelEngineOptions } from '@mimosarock/stand-ins/model-engine-options.js'

/** Which endpoint a worker starts. */
export type EndpointOrder =
  /** One that answers every call at once with the same completion. */
  { readonly kind: 'instant' } |
  /** A model engine stand-in. */
  { readonly kind: 'engine', readonly options: ModelEngineOptions }
