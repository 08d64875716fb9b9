/** Options of `HeldBytes`. */
export interface HeldBytesOptions {
  /** Memory limit of the process, in bytes; undefined if there is none, in which case nothing is bounded. */
  readonly memoryBytes: number | undefined
}
