/** Fields of an entry that determine its scheduling order in a `FairQueue`. */
export interface FairQueueEntry {
  readonly workspace: string
  /** Scheduling priority; higher values are served first. */
  readonly priority: number
  /** Weight relative to other workspaces of the same priority; 0 is treated as 1. */
  readonly weight: number
  /** Service cost of the entry, in requests of mean size. */
  readonly load: number
  /** Time at which the entry was queued, in milliseconds of a monotonic clock. */
  readonly queuedAt: number
}
