import type { HolderNews } from './holder-news.js'
import type { HolderNote } from './holder-note.js'

/** Keys that are remembered; at some 150 bytes each, 30 MB. */
const MAXIMUM_KEYS = 200_000
/** Holders remembered for a key; more copies than these save nothing. */
const MAXIMUM_HOLDERS = 8

/** Notes of the newest changes that other routers can ask for. */
const MAXIMUM_NOTES = 8_192

/** A note and where it came from. */
interface LoggedNote extends HolderNote {
  /** Whether it came from the router that this one follows, which need not be told. */
  readonly isFromSource: boolean
}

/**
 * Which endpoints hold the context of a key. Learned from where requests were sent, by this router and by others;
 * forgotten with the incarnation of the endpoint, and least recently used first.
 */
export class HolderTable {
  private readonly _holders = new Map<string, string[]>()
  private readonly _notes: LoggedNote[] = []
  private _firstNote = 0

  /** Number of changes so far; readers of changes go on from here. */
  get cursor (): number {
    return this._firstNote + this._notes.length
  }

  /**
   * Identities of the endpoints that hold a key, the latest first.
   * @param key identity of the last shared part of the prompt
   */
  holders (key: string): readonly string[] {
    const holders = this._holders.get(key)
    if (holders === undefined) return []
    this._holders.delete(key)
    this._holders.set(key, holders)
    return holders
  }

  /**
   * Notes that an endpoint holds a key now, for this router and for those that ask it.
   * @param key identity of the last shared part of the prompt
   * @param endpointId identity of the endpoint
   */
  add (key: string, endpointId: string): void {
    if (this.learn(key, endpointId)) this._note({ key, endpointId, isFromSource: false })
  }

  /**
   * Takes over what the router told that this one follows, for those that follow this one.
   * @param key identity of the last shared part of the prompt
   * @param endpointId identity of the endpoint
   */
  relay (key: string, endpointId: string): void {
    if (this.learn(key, endpointId)) this._note({ key, endpointId, isFromSource: true })
  }

  /**
   * Takes over what another router, or the store, told. It isn't passed on, so that nothing goes round in circles.
   * @param key identity of the last shared part of the prompt
   * @param endpointId identity of the endpoint
   * @returns whether it was not known
   */
  learn (key: string, endpointId: string): boolean {
    const holders = this._holders.get(key)
    if (holders?.includes(endpointId) === true) return false
    this._holders.delete(key)
    this._holders.set(key, [endpointId, ...(holders ?? [])].slice(0, MAXIMUM_HOLDERS))
    if (this._holders.size > MAXIMUM_KEYS) this._holders.delete(this._holders.keys().next().value as string)
    return true
  }

  /**
   * Forgets all that an endpoint held.
   * @param endpointId identity of the endpoint
   */
  forget (endpointId: string): void {
    for (const [key, holders] of this._holders) {
      if (!holders.includes(endpointId)) continue
      const left = holders.filter((holder) => holder !== endpointId)
      if (left.length > 0) this._holders.set(key, left)
      else this._holders.delete(key)
    }
  }

  /**
   * Changes since a cursor.
   * @param cursor as it was at the last reading; 0 for all that is still kept
   * @param most highest number of notes
   */
  notesSince (cursor: number, most: number): HolderNews {
    const from = Math.max(0, cursor - this._firstNote)
    const news = this._notes.slice(from, from + most)
    const toNote = ({ key, endpointId }: HolderNote): HolderNote => ({ key, endpointId })
    return {
      notes: news.map(toNote),
      ownNotes: news.filter((note) => !note.isFromSource).map(toNote),
      cursor: Math.max(cursor, this._firstNote) + news.length
    }
  }

  /**
   * The keys that were used last, with their holders.
   * @param most highest number of keys
   */
  recent (most: number): readonly HolderNote[] {
    const entries = [...this._holders].slice(-most)
    return entries.flatMap(([key, holders]) => [...holders].reverse().map((endpointId) => ({ key, endpointId })))
  }

  private _note (note: LoggedNote): void {
    this._notes.push(note)
    if (this._notes.length <= MAXIMUM_NOTES) return
    this._notes.splice(0, MAXIMUM_NOTES / 2)
    this._firstNote += MAXIMUM_NOTES / 2
  }
}
