import type { EndpointEntry } from '../model/endpoint-entry.js'
import { isValidEndpoint } from '../model/is-valid-endpoint.js'
import type { SyncAnswer } from './sync-answer.js'

/**
 * Copy of another router's endpoint table. Preserves that router's order, in which the loads in its answers are
 * encoded.
 */
export class EndpointMirror {
  private readonly _entries = new Map<string, EndpointEntry>()
  private _revision: string | undefined

  /** Revision that the other router assigned to this state; undefined before the first answer. */
  get revision (): string | undefined {
    return this._revision
  }

  /** All valid endpoints, in the order of the other router. */
  get entries (): readonly EndpointEntry[] {
    return [...this._entries.values()].filter(isValidEndpoint)
  }

  /** Ids of all endpoints, in the same order. */
  get ids (): readonly string[] {
    return [...this._entries.keys()]
  }

  /**
   * Applies the endpoints of an answer, or the changes since the revision that its request stated. Answers to concurrent requests arrive in any
   * order.
   * @param answer answer of the mirrored router
   * @param baseRevision revision that the request stated
   * @returns false if the answer does not follow from this copy, which then is as it was
   */
  apply (answer: SyncAnswer, baseRevision: string | undefined): boolean {
    if (!this._canApply(answer, baseRevision)) return false
    if (answer.endpoints !== undefined) {
      this._entries.clear()
      for (const entry of answer.endpoints) this._entries.set(entry.id, entry)
    }
    for (const { id, entry } of answer.endpointChanges ?? []) {
      if (entry === undefined) this._entries.delete(id)
      else this._entries.set(id, entry)
    }
    this._revision = answer.endpointsRevision
    return true
  }

  private _canApply ({ endpoints, endpointsRevision }: SyncAnswer, baseRevision: string | undefined): boolean {
    if (endpoints !== undefined) return !this._isLaterThan(endpointsRevision)
    // Changes without the endpoints that did not change are no list.
    return baseRevision !== undefined && baseRevision === this._revision
  }

  /** Whether this copy is of a later revision of the same process. */
  private _isLaterThan (otherRevision: string): boolean {
    const [instance, revision] = (this._revision ?? '').split(':')
    const [otherInstance, other] = otherRevision.split(':')
    return instance === otherInstance && Number(revision) > Number(other)
  }
}
