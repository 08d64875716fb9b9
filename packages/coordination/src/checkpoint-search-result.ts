import type { AssembledCheckpoint } from './assembled-checkpoint.js'

/** Starting point from which a stream can be replayed. */
export interface CheckpointSearchResult {
  /** Checkpoint to load; undefined if the log still has the stream's first record, so that no checkpoint is needed. */
  readonly checkpoint: AssembledCheckpoint | undefined
}
