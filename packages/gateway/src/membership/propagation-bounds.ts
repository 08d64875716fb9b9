/** Time from the acknowledgement of a change by the store within which every router that reaches the store or another router has to know it. */
export interface PropagationBounds {
  /** Bound for changes of the endpoints, such as one that is leaving, in milliseconds. */
  readonly endpointsMs: number
  /** Bound for changes of the configuration, in milliseconds. */
  readonly configurationMs: number
}
