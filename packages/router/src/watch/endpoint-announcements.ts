import type { HeartbeatExtension } from '@mimosarock/coordination/membership/heartbeat-extension.js'
import type { Clock } from '@mimosarock/coordination/clock.js'
import type { RouterIdentity } from '@mimosarock/coordination/router-identity.js'

/** Records in one heartbeat; more follow in the next. */
const MAXIMUM_RECORDS = 8
/** A record is sent to a peer again after this time, since a heartbeat may have been lost. */
const REPEAT_MS = 15_000

/** What one router says of endpoints: its id, version, addresses that fail, addresses that leave. */
type Announcement = readonly [string, number, readonly string[], readonly string[]]

/**
 * Passes on through heartbeats which endpoints fail, as their owners see it, and which leave, as readers of the
 * VM list see it. Each router keeps the newest announcement of every other; nothing is sent while nothing changes.
 */
export class EndpointAnnouncements implements HeartbeatExtension {
  readonly name = 'endpoints'
  private readonly _selfId: string
  private readonly _clock: Clock
  private readonly _hasten: () => void
  private readonly _announcements = new Map<string, Announcement>()
  /** Every address that some announcement marks; made when asked for. */
  private _leaving: ReadonlySet<string> | undefined
  /** When each announcement's version was sent, by peer and announcing router. */
  private readonly _sent = new Map<string, Map<string, { version: number, at: number }>>()

  /**
   * @param selfId id of this router
   * @param clock source of time
   * @param hasten makes the next heartbeats leave at once
   */
  constructor (selfId: string, clock: Clock, hasten: () => void) {
    this._selfId = selfId
    this._clock = clock
    this._hasten = hasten
  }

  /**
   * Announces what this router sees; does nothing if it is as before.
   * @param failed addresses of owned endpoints that fail
   * @param leaving addresses that the VM list marks as leaving
   */
  announce (failed: readonly string[], leaving: readonly string[]): void {
    const known = this._announcements.get(this._selfId)
    const same = known !== undefined && isSame(known[2], failed) && isSame(known[3], leaving)
    const silent = known === undefined && failed.length === 0 && leaving.length === 0
    if (same || silent) return
    this._announcements.set(this._selfId, [this._selfId, (known?.[1] ?? 0) + 1, failed, leaving])
    this._leaving = undefined
    this._hasten()
  }

  /**
   * Whether a router says that an endpoint fails.
   * @param routerId the router; its word counts while it owns the endpoint
   * @param address IP number and port of the endpoint
   */
  isFailed (routerId: string, address: string): boolean {
    return this._announcements.get(routerId)?.[2].includes(address) === true
  }

  /**
   * Whether any router says that an endpoint leaves.
   * @param address IP number and port of the endpoint
   */
  isLeaving (address: string): boolean {
    this._leaving ??= new Set([...this._announcements.values()].flatMap((announcement) => announcement[3]))
    return this._leaving.has(address)
  }

  /**
   * Forgets what routers said that are gone.
   * @param liveIds ids of the live routers
   */
  retain (liveIds: ReadonlySet<string>): void {
    this._leaving = undefined
    for (const id of [...this._announcements.keys()]) {
      if (!liveIds.has(id) && id !== this._selfId) this._announcements.delete(id)
    }
    for (const id of [...this._sent.keys()]) {
      if (!liveIds.has(id)) this._sent.delete(id)
    }
  }

  /**
   * Announcements that a peer has not been sent yet.
   * @param peer who gets them
   */
  outgoing (peer: RouterIdentity): unknown {
    const now = this._clock.now()
    const sent = this._sent.get(peer.id) ?? new Map<string, { version: number, at: number }>()
    this._sent.set(peer.id, sent)
    const due: Announcement[] = []
    for (const announcement of this._announcements.values()) {
      const [routerId, version] = announcement
      const last = sent.get(routerId)
      if (routerId === peer.id || (last?.version === version && now - last.at < REPEAT_MS)) continue
      if (due.length === MAXIMUM_RECORDS) break
      sent.set(routerId, { version, at: now })
      due.push(announcement)
    }
    return due.length > 0 ? due : undefined
  }

  /**
   * Takes a peer's announcements and passes new ones on at once.
   * @param peer who sent them
   * @param payload the announcements
   */
  incoming (peer: RouterIdentity, payload: unknown): void {
    if (!Array.isArray(payload)) return
    let news = false
    for (const announcement of payload.filter(isAnnouncement)) {
      const [routerId, version] = announcement
      const known = this._announcements.get(routerId)
      if (routerId === this._selfId || (known !== undefined && known[1] >= version)) continue
      this._announcements.set(routerId, announcement)
      this._sent.get(peer.id)?.set(routerId, { version, at: this._clock.now() })
      news = true
    }
    if (!news) return
    this._leaving = undefined
    this._hasten()
  }
}

function isSame (left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((item) => right.includes(item))
}

function isAnnouncement (value: unknown): value is Announcement {
  return Array.isArray(value) && typeof value[0] === 'string' && Number.isSafeInteger(value[1]) &&
    [value[2], value[3]].every((list) => Array.isArray(list) && list.every((item) => typeof item === 'string'))
}
