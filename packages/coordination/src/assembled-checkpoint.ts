/** A checkpoint reassembled from all of its parts. */
export interface AssembledCheckpoint {
  /** Offset of the last record that is included in the state. */
  readonly coversOffset: number
  /** Encoded `StreamState`. */
  readonly state: Uint8Array
}
