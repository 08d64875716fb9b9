/** News that each peer of this router has still to be told: ids of routers whose records or revisions changed. */
export class PendingUpdates {
  private readonly _records = new Map<string, Set<string>>()
  private readonly _revisions = new Map<string, Set<string>>()

  /**
   * Keeps news for these peers and drops that of others.
   * @param peerIds the peers
   */
  setPeers (peerIds: readonly string[]): void {
    for (const pending of [this._records, this._revisions]) {
      for (const id of pending.keys()) {
        if (!peerIds.includes(id)) pending.delete(id)
      }
      for (const id of peerIds) {
        if (!pending.has(id)) pending.set(id, new Set())
      }
    }
  }

  /**
   * Notes that a router's record changed.
   * @param id the router
   * @param source the peer that told it and needs not hear it
   */
  addRecord (id: string, source: string | undefined): void {
    this._add(this._records, id, source)
  }

  /**
   * Notes that a router's revision changed.
   * @param id the router
   * @param source the peer that told it and needs not hear it
   */
  addRevision (id: string, source: string | undefined): void {
    this._add(this._revisions, id, source)
  }

  /**
   * Takes out changed records for one heartbeat.
   * @param peerId who gets it
   * @param limit most ids
   */
  takeRecords (peerId: string, limit: number): string[] {
    return take(this._records.get(peerId), limit)
  }

  /**
   * Takes out changed revisions for one heartbeat.
   * @param peerId who gets it
   * @param limit most ids
   */
  takeRevisions (peerId: string, limit: number): string[] {
    return take(this._revisions.get(peerId), limit)
  }

  /**
   * Whether records wait for a peer.
   * @param peerId the peer
   */
  hasRecords (peerId: string): boolean {
    return (this._records.get(peerId)?.size ?? 0) > 0
  }

  /**
   * Puts ids back after a heartbeat that failed.
   * @param peerId who did not get it
   * @param records ids of records
   * @param revisions ids of revisions
   */
  putBack (peerId: string, records: readonly string[], revisions: readonly string[]): void {
    for (const id of records) this._records.get(peerId)?.add(id)
    for (const id of revisions) this._revisions.get(peerId)?.add(id)
  }

  private _add (pending: Map<string, Set<string>>, id: string, source: string | undefined): void {
    for (const [peerId, ids] of pending) {
      if (peerId !== source) ids.add(id)
    }
  }
}

function take (ids: Set<string> | undefined, limit: number): string[] {
  if (ids === undefined) return []
  const taken = [...ids].slice(0, limit)
  for (const id of taken) ids.delete(id)
  return taken
}
