import type { HolderNote } from '@mimosarock/gateway/choice/holder-note.js'
import { SilentEventLog } from '@mimosarock/coordination/silent-event-log.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import type { FleetStore } from '@mimosarock/gateway/model/fleet-store.js'
import type { GatewayConfiguration } from '@mimosarock/gateway/model/gateway-configuration.js'
import type { OperatorRecord } from '@mimosarock/gateway/model/operator-record.js'
import type { RouterEntry } from '@mimosarock/gateway/model/router-entry.js'
import type { CrashNote } from '@mimosarock/gateway/quarantine/crash-note.js'
import { StoreEra } from '@mimosarock/gateway/model/store-era.js'
import type { StorePosition } from '@mimosarock/gateway/model/store-position.js'
import type { TopicChange } from '@mimosarock/gateway/model/topic-change.js'
import type { TopicPage } from '@mimosarock/gateway/model/topic-page.js'
import type { TopicReader } from '@mimosarock/gateway/model/topic-reader.js'

const POLL_MS = 5

/** In-memory topic. */
class MemoryTopic<Value> implements TopicReader<Value> {
  readonly changes: TopicChange<Value>[] = []
  isDown = false
  private readonly _era: StoreEra

  constructor (era: StoreEra) {
    this._era = era
  }

  put (key: string, value: Value | undefined): void {
    this.changes.push({ key, value })
  }

  async read (position: StorePosition | undefined, waitMs: number, signal: AbortSignal): Promise<TopicPage<Value>> {
    const until = performance.now() + waitMs
    while (!this.isDown && position?.offset === this.changes.length && performance.now() < until && !signal.aborted) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    }
    if (this.isDown) throw new Error('the store is down')
    const nextPosition = { era: this._era.number, offset: this.changes.length }
    if (position !== undefined && position.era === this._era.number) return { changes: this.changes.slice(position.offset), nextPosition, isSnapshot: false }
    const newest = new Map(this.changes.map((change) => [change.key, change]))
    return { changes: [...newest.values()].filter((change) => change.value !== undefined), nextPosition, isSnapshot: true }
  }

  /** Drops all but the oldest changes, as a store does that comes back from an older copy. */
  restore (count: number): void {
    this.changes.length = count
  }
}

/** Configurations among the records of the operator. */
class Configurations {
  private readonly _records: MemoryTopic<OperatorRecord>

  constructor (records: MemoryTopic<OperatorRecord>) {
    this._records = records
  }

  put (key: string, configuration: GatewayConfiguration): void {
    this._records.put(key, { configuration })
  }

  get isDown (): boolean {
    return this._records.isDown
  }

  set isDown (isDown: boolean) {
    this._records.isDown = isDown
  }
}

/** In-memory implementation of the store, for tests. */
export class MemoryStore implements FleetStore {
  /** Uses the time of `GatewayFixture.clock`, since the times of readings are compared with it. */
  readonly era = new StoreEra({ now: () => performance.now() + 1_000_000 }, new SilentEventLog())
  readonly operatorRecords = new MemoryTopic<OperatorRecord>(this.era)
  readonly configurations = new Configurations(this.operatorRecords)
  readonly endpoints = new MemoryTopic<EndpointEntry>(this.era)
  readonly routers = new MemoryTopic<RouterEntry>(this.era)
  readonly crashes = new MemoryTopic<readonly CrashNote[]>(this.era)
  holders: readonly HolderNote[] = []

  /** Writes or deletes the record that evacuates a zone. */
  putEvacuation (zone: string, isEvacuated: boolean): void {
    this.operatorRecords.put(`evacuate/${zone}`, { zone, isEvacuated })
  }

  onCall (): void {
    // Calls are not counted.
  }

  async announce (entries: readonly RouterEntry[]): Promise<void> {
    for (const entry of entries) this.routers.put(entry.name, entry)
  }

  async saveHolders (notes: readonly HolderNote[]): Promise<void> {
    this.holders = notes
  }

  async saveCrashes (crashes: readonly CrashNote[]): Promise<void> {
    this.crashes.put('quarantine', JSON.parse(JSON.stringify(crashes)))
  }

  async loadHolders (_signal?: AbortSignal, _onProgress?: () => void): Promise<readonly HolderNote[]> {
    return this.holders
  }
}
