/** What was tried so far. */
export interface TriesSoFar {
  /** All tries. */
  readonly tries: number
  /** Tries that may have run. */
  readonly runs: number
}
