/** A checkpoint whose parts have all been read. */
export interface AssembledCheckpoint {
  /** Last offset whose records the state contains. */
  readonly coversOffset: number
  /** The encoded StreamState. */
  readonly state: Uint8Array
}
