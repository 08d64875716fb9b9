import type { RouterEntry } from '../model/router-entry.js'
import type { RouterTable } from './router-table.js'

/** Number of rounds between two sync requests of a reader. */
const ROUNDS_PER_READER_SYNC = 4

/** The routers that a reader contacts, one at a time. Followers contact a reader by themselves; this lets two concurrent readers discover each other. */
export class PeerRotation {
  private readonly _routers: RouterTable
  /** Addresses of routers that were never heard, to contact in the next rounds. */
  private readonly _unheard: string[] = []
  private _rounds = 0

  /**
   * @param routers live routers
   */
  constructor (routers: RouterTable) {
    this._routers = routers
  }

  /**
   * Adds routers to contact in the next rounds, one in each. They may be a group that does not know of this one, and wait long for their turn.
   * @param routers routers that this one has never heard
   */
  addUnheard (routers: readonly RouterEntry[]): void {
    this._unheard.push(...routers.map(({ address }) => address))
  }

  /** Returns the address of the router to contact in this round, in round-robin order every few rounds; undefined for none. */
  next (): string | undefined {
    const unheard = this._unheard.shift()
    if (unheard !== undefined) return unheard
    const peers = this._routers.inReaderOrder().filter(({ name }) => name !== this._routers.self.name)
    this._rounds += 1
    if (peers.length === 0 || this._rounds % ROUNDS_PER_READER_SYNC !== 0) return undefined
    return peers[(this._rounds / ROUNDS_PER_READER_SYNC) % peers.length]?.address
  }
}
