import type { AssembledCheckpoint } from './assembled-checkpoint.js'

/** Where a stream can be folded from. */
export interface CheckpointSearchResult {
  /** The checkpoint to load; undefined if the stream's first record is still kept. */
  readonly checkpoint: AssembledCheckpoint | undefined
}
