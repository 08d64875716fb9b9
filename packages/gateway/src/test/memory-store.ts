import type { HolderNote } from '@mimosarock/gateway/choice/holder-note.js'
import type { EndpointEntry } from '@mimosarock/gateway/model/endpoint-entry.js'
import type { FleetStore } from '@mimosarock/gateway/model/fleet-store.js'
import type { GatewayConfiguration } from '@mimosarock/gateway/model/gateway-configuration.js'
import type { RouterEntry } from '@mimosarock/gateway/model/router-entry.js'
import type { TopicChange } from '@mimosarock/gateway/model/topic-change.js'
import type { TopicPage } from '@mimosarock/gateway/model/topic-page.js'
import type { TopicReader } from '@mimosarock/gateway/model/topic-reader.js'

const POLL_MS = 5

/** In-memory topic. */
class MemoryTopic<Value> implements TopicReader<Value> {
  readonly changes: TopicChange<Value>[] = []
  isDown = false

  put (key: string, value: Value | undefined): void {
    this.changes.push({ key, value })
  }

  async read (offset: number | undefined, waitMs: number, signal: AbortSignal): Promise<TopicPage<Value>> {
    const until = performance.now() + waitMs
    while (!this.isDown && offset === this.changes.length && performance.now() < until && !signal.aborted) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    }
    if (this.isDown) throw new Error('the store is down')
    const nextOffset = this.changes.length
    if (offset !== undefined) return { changes: this.changes.slice(offset), nextOffset, isSnapshot: false }
    const newest = new Map(this.changes.map((change) => [change.key, change]))
    return { changes: [...newest.values()].filter((change) => change.value !== undefined), nextOffset, isSnapshot: true }
  }
}

/** In-memory implementation of the store, for tests. */
export class MemoryStore implements FleetStore {
  readonly configurations = new MemoryTopic<GatewayConfiguration>()
  readonly endpoints = new MemoryTopic<EndpointEntry>()
  readonly routers = new MemoryTopic<RouterEntry>()
  holders: readonly HolderNote[] = []

  async announce (entry: RouterEntry): Promise<void> {
    this.routers.put(entry.name, entry)
  }

  async saveHolders (notes: readonly HolderNote[]): Promise<void> {
    this.holders = notes
  }

  async loadHolders (_signal?: AbortSignal, _onProgress?: () => void): Promise<readonly HolderNote[]> {
    return this.holders
  }
}
