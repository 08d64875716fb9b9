/** Updates not sent yet to each heartbeat peer: ids of routers whose records or configuration revisions changed. */
export class PendingUpdates {
  private readonly _records = new Map<string, Set<string>>()
  private readonly _revisions = new Map<string, Set<string>>()

  /**
   * Sets the peers that receive updates. Discards the pending updates of all other peers.
   * @param peerIds router ids of the heartbeat peers
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
   * Queues the changed record of a router for all peers.
   * @param id the router's id
   * @param source id of the peer that reported the change, which is skipped
   */
  addRecord (id: string, source: string | undefined): void {
    this._add(this._records, id, source)
  }

  /**
   * Queues the changed configuration revision of a router for all peers.
   * @param id the router's id
   * @param source id of the peer that reported the change, which is skipped
   */
  addRevision (id: string, source: string | undefined): void {
    this._add(this._revisions, id, source)
  }

  /**
   * Dequeues ids of routers with changed records, for one heartbeat.
   * @param peerId receiver of the heartbeat
   * @param limit maximum number of ids
   */
  takeRecords (peerId: string, limit: number): string[] {
    return take(this._records.get(peerId), limit)
  }

  /**
   * Dequeues ids of routers with changed revisions, for one heartbeat.
   * @param peerId receiver of the heartbeat
   * @param limit maximum number of ids
   */
  takeRevisions (peerId: string, limit: number): string[] {
    return take(this._revisions.get(peerId), limit)
  }

  /**
   * Returns whether changed records are pending for a peer.
   * @param peerId the peer's router id
   */
  hasRecords (peerId: string): boolean {
    return (this._records.get(peerId)?.size ?? 0) > 0
  }

  /**
   * Requeues the updates of a heartbeat that failed.
   * @param peerId receiver of the failed heartbeat
   * @param records ids of routers whose records it contained
   * @param revisions ids of routers whose revisions it contained
   */
  requeue (peerId: string, records: readonly string[], revisions: readonly string[]): void {
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
