/** Measures of the quality of a placement policy over a replay. */
export interface PlacementFigures {
  /** Share of the prompt tokens of returning chats that were cached by the serving engine. */
  readonly reuse: number
  /** Maximum ratio of the highest to the mean load in a sample. */
  readonly skewWorst: number
  /** Share of samples in which an engine exceeded the guaranteed multiple of the mean load by more than one request. */
  readonly shareOverBound: number
  /** Mean load of an engine, averaged over the samples. */
  readonly meanLoad: number
}
