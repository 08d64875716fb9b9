import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { SyncAnswer } from './sync-answer.js'

/**
 * Another router's endpoints as it told them, in its own order: the loads in its answers are counted in that order.
 */
export class EndpointMirror {
  private readonly _entries = new Map<string, EndpointEntry>()
  private _revision: string | undefined

  /** Revision that the other router gave to what is held here; undefined if nothing is held. */
  get revision (): string | undefined {
    return this._revision
  }

  /** The endpoints. */
  get entries (): readonly EndpointEntry[] {
    return [...this._entries.values()]
  }

  /** Their identities. */
  get ids (): readonly string[] {
    return [...this._entries.keys()]
  }

  /**
   * Takes what an answer tells of the endpoints.
   * @param answer of the other router
   */
  take (answer: SyncAnswer): void {
    if (answer.endpoints !== undefined) {
      this._entries.clear()
      for (const entry of answer.endpoints) this._entries.set(entry.id, entry)
    }
    for (const { id, entry } of answer.endpointChanges ?? []) {
      if (entry === undefined) this._entries.delete(id)
      else this._entries.set(id, entry)
    }
    this._revision = answer.endpointsRevision
  }
}
