import type { ModelEngineOptions } from '@mimosarock/stand-ins/model-engine-options.js'

/** Kind and options of the endpoint that a worker thread starts. */
export type EndpointOptions =
  /** Endpoint that responds to every completion request immediately and with the same text. */
  { readonly kind: 'instant' } |
  /** A model engine stand-in. */
  { readonly kind: 'engine', readonly options: ModelEngineOptions }
