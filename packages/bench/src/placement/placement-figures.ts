/** How well a policy placed the arrivals. */
export interface PlacementFigures {
  /** Prompt tokens found in the serving engine's cache / prompt tokens of returning chats. */
  readonly reuse: number
  /** Highest load over mean load of any sample. */
  readonly skewWorst: number
  /** Share of samples in which an engine passed the promised multiple of the mean by more than one request. */
  readonly shareOverBound: number
  /** Mean load of an engine over the samples. */
  readonly meanLoad: number
}
