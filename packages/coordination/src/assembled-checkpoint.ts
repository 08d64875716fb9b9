/** A complete checkpoint: the state of a stream before it is split into parts, or after it is reassembled from them. */
export interface AssembledCheckpoint {
  /** Offset of the last record that is included in the state. */
  readonly coversOffset: number
  /** Encoded `StreamState`. */
  readonly state: Uint8Array
}
