import type { FairQueueEntry } from './fair-queue-entry.js'

/** Interval, in calls of `take`, at which one call serves the priority of the longest-waiting entry. */
const AGING_INTERVAL_TURNS = 8

/** Queued entries of one workspace at one priority, oldest first. */
interface Flow<Entry> {
  readonly priority: number
  readonly workspace: string
  readonly entries: Entry[]
  /** Start tag of the oldest entry, in virtual time. */
  startTag: number
}

/**
 * Priority queue with weighted fair queueing: higher priorities are served first, and workspaces of one priority
 * share the service by weight (start-time fair queueing: Goyal, Vin and Cheng, 1996). One turn (call of `take`) in
 * eight goes to the priority of the longest-waiting entry, which prevents a surge at a high priority from starving
 * lower ones.
 */
export class FairQueue<Entry extends FairQueueEntry> {
  private readonly _flows = new Map<string, Flow<Entry>>()
  /** Virtual time of each priority: the highest start tag served. */
  private readonly _virtualTimes = new Map<number, number>()
  /**
   * Start tags of flows that ran empty, by flow key. A flow that is created again starts no earlier and gains no
   * additional turns. Cleared when the whole queue is empty.
   */
  private readonly _emptiedStartTags = new Map<string, number>()
  private _size = 0
  private _turnCount = 0

  /** Number of entries. */
  get size (): number {
    return this._size
  }

  /**
   * Returns the number of entries of a workspace across all priorities.
   * @param workspace name of the workspace
   */
  sizeOf (workspace: string): number {
    let count = 0
    for (const flow of this._flows.values()) if (flow.workspace === workspace) count += flow.entries.length
    return count
  }

  /**
   * Appends an entry to the flow of its workspace and priority.
   * @param entry entry to add
   */
  push (entry: Entry): void {
    const key = `${entry.priority}/${entry.workspace}`
    let flow = this._flows.get(key)
    if (flow === undefined) {
      const startTag = Math.max(this._virtualTimes.get(entry.priority) ?? 0, this._emptiedStartTags.get(key) ?? 0)
      flow = { priority: entry.priority, workspace: entry.workspace, entries: [], startTag }
      this._flows.set(key, flow)
    }
    flow.entries.push(entry)
    this._size += 1
  }

  /** Returns the next entry in scheduling order without removing it. */
  peek (): Entry | undefined {
    return this._next()?.entries[0]
  }

  /**
   * Estimates the queued load that would be served before a new entry, from priorities and weights alone.
   * @param entry entry that is not in the queue yet
   */
  loadAhead (entry: Entry): number {
    const entryFlow = this._flows.get(`${entry.priority}/${entry.workspace}`)
    const virtualFinish = ((entryFlow === undefined ? 0 : totalLoad(entryFlow.entries)) + entry.load) / Math.max(entry.weight, 1)
    let before = 0
    for (const flow of this._flows.values()) {
      const load = totalLoad(flow.entries)
      if (flow === entryFlow || flow.priority > entry.priority) before += load
      else if (flow.priority === entry.priority) before += Math.min(load, virtualFinish * Math.max(flow.entries[0]?.weight ?? 1, 1))
    }
    return before
  }

  /** Removes and returns the next entry in scheduling order. */
  take (): Entry | undefined {
    const flow = this._next()
    const entry = flow?.entries[0]
    if (flow === undefined || entry === undefined) return undefined
    this._turnCount += 1
    this._virtualTimes.set(flow.priority, Math.max(flow.startTag, this._virtualTimes.get(flow.priority) ?? 0))
    flow.startTag += entry.load / Math.max(entry.weight, 1)
    this._removeFrom(flow, entry)
    return entry
  }

  /**
   * Removes an entry without serving it.
   * @param entry entry to remove
   * @returns whether the entry was in the queue
   */
  remove (entry: Entry): boolean {
    const flow = this._flows.get(`${entry.priority}/${entry.workspace}`)
    if (flow === undefined || !flow.entries.includes(entry)) return false
    this._removeFrom(flow, entry)
    return true
  }

  /**
   * Returns the entry to evict from a full queue in favor of a new one: the newest entry of the workspace with the
   * most entries per weight at the lowest priority.
   * @param entry entry that is not in the queue yet
   * @returns undefined if the new entry does not take precedence over any queued one
   */
  evictionCandidate (entry: Entry): Entry | undefined {
    let victim: Flow<Entry> | undefined
    for (const flow of this._flows.values()) {
      if (victim === undefined || flow.priority < victim.priority ||
        (flow.priority === victim.priority && this._entriesPerWeight(flow) > this._entriesPerWeight(victim))) victim = flow
    }
    if (victim === undefined || victim.priority > entry.priority) return undefined
    const entryFlow = this._flows.get(`${entry.priority}/${entry.workspace}`)
    const entriesPerWeight = ((entryFlow?.entries.length ?? 0) + 1) / Math.max(entry.weight, 1)
    if (victim.priority === entry.priority && entriesPerWeight >= this._entriesPerWeight(victim)) return undefined
    return victim.entries.at(-1)
  }

  private _entriesPerWeight (flow: Flow<Entry>): number {
    return flow.entries.length / Math.max(flow.entries[0]?.weight ?? 1, 1)
  }

  private _next (): Flow<Entry> | undefined {
    const priority = this._turnCount % AGING_INTERVAL_TURNS === AGING_INTERVAL_TURNS - 1 ? this._oldestPriority() : undefined
    let next: Flow<Entry> | undefined
    for (const flow of this._flows.values()) {
      if (priority !== undefined && flow.priority !== priority) continue
      if (next === undefined || this._precedes(flow, next)) next = flow
    }
    return next
  }

  /** Returns the priority of the longest-waiting entry. */
  private _oldestPriority (): number | undefined {
    let oldest: Entry | undefined
    for (const { entries: [entry] } of this._flows.values()) {
      if (entry !== undefined && (oldest === undefined || entry.queuedAt < oldest.queuedAt)) oldest = entry
    }
    return oldest?.priority
  }

  private _precedes (flow: Flow<Entry>, other: Flow<Entry>): boolean {
    if (flow.priority !== other.priority) return flow.priority > other.priority
    return flow.startTag < other.startTag
  }

  private _removeFrom (flow: Flow<Entry>, entry: Entry): void {
    flow.entries.splice(flow.entries.indexOf(entry), 1)
    this._size -= 1
    if (flow.entries.length > 0) return
    const key = `${flow.priority}/${flow.workspace}`
    this._flows.delete(key)
    this._emptiedStartTags.set(key, flow.startTag)
    if (this._size === 0) this._emptiedStartTags.clear()
  }
}

function totalLoad (entries: readonly FairQueueEntry[]): number {
  return entries.reduce((sum, entry) => sum + entry.load, 0)
}
