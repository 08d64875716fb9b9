/** What a fair queue reads of its entries. */
export interface FairQueueEntry {
  readonly workspace: string
  /** Higher is served first. */
  readonly priority: number
  /** Share of the turns relative to other workspaces of the same priority; 0 counts as 1. */
  readonly weight: number
  /** Size of its turn. */
  readonly load: number
  /** Time at which it was queued, in milliseconds. */
  readonly queuedAt: number
}
