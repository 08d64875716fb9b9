import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { EndpointTable } from '../membership/endpoint-table.js'
import type { ElapsedClock } from '../model/elapsed-clock.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import type { Ejection } from './ejection.js'
import type { EjectionNote } from './ejection-note.js'

/** The ejected endpoints that this router knows of. An endpoint is left out while it is ejected and, apart from trials, afterwards. */
export class Ejections {
  private readonly _ejections = new Map<string, Ejection>()
  private readonly _endpoints: Pick<EndpointTable, 'find'>
  private readonly _clock: ElapsedClock
  private readonly _log: EventLog
  private _revision = 0

  /**
   * @param endpoints registered endpoints
   * @param clock measures ejections
   * @param log logs ejected and readmitted endpoints
   */
  constructor (endpoints: Pick<EndpointTable, 'find'>, clock: ElapsedClock, log: EventLog) {
    this._endpoints = endpoints
    this._clock = clock
    this._log = log
  }

  /** Revision number; incremented by each change that other routers need. */
  get revision (): number {
    return this._revision
  }

  /** Number of endpoints that are left out. */
  get size (): number {
    return this._ejections.size
  }

  /** The ejections. Those of endpoints that have restarted or are gone are removed first. */
  get all (): readonly Ejection[] {
    for (const { endpoint } of this._ejections.values()) this.find(endpoint.id)
    return [...this._ejections.values()]
  }

  /**
   * Returns the ejection of an endpoint; undefined if it is not left out.
   * @param endpointId id of the endpoint
   */
  find (endpointId: string): Ejection | undefined {
    const ejection = this._ejections.get(endpointId)
    if (ejection === undefined) return undefined
    // The new incarnation of an endpoint has failed nothing yet.
    if (this._endpoints.find(endpointId)?.startedAt === ejection.endpoint.startedAt) return ejection
    this._ejections.delete(endpointId)
    this._revision += 1
    return undefined
  }

  /**
   * Returns whether an ejected endpoint gets trials.
   * @param ejection its ejection
   */
  isOnTrial ({ until }: Ejection): boolean {
    return this._clock.now() >= until
  }

  /**
   * Adds or renews an ejection.
   * @param ejection the ejection
   * @param fields fields of the log line: why it is ejected, or who told of it
   */
  put (ejection: Ejection, fields: Readonly<Record<string, string | number>>): void {
    const { endpoint: { id, service }, until, times } = ejection
    const known = this._ejections.get(id)
    this._ejections.set(id, ejection)
    this._revision += 1
    if (known?.times === times) return
    this._log.warn('endpoint-ejected', { endpoint: id, service, for_ms: Math.round(until - this._clock.now()), times, ...fields })
  }

  /**
   * Removes the ejection of an endpoint.
   * @param endpointId id of the endpoint
   */
  remove (endpointId: string): void {
    const ejection = this._ejections.get(endpointId)
    if (ejection === undefined) return
    this._ejections.delete(endpointId)
    this._revision += 1
    this._log.info('endpoint-readmitted', { endpoint: endpointId, service: ejection.endpoint.service, times: ejection.times })
  }

  /** Returns the ejections to be sent to another router. */
  notes (): readonly EjectionNote[] {
    const now = this._clock.now()
    return this.all.map(({ endpoint: { id, startedAt }, until, times }) => ({ id, startedAt, leftMs: Math.max(0, Math.ceil(until - now)), times }))
  }

  /**
   * Replaces all ejections by those of another router.
   * @param notes the ejections
   * @param source name of the router
   * @returns ids of the endpoints that were not ejected before, or not as many times
   */
  replace (notes: readonly EjectionNote[], source: string): readonly string[] {
    const ids = new Set(notes.map(({ id }) => id))
    for (const id of [...this._ejections.keys()]) if (!ids.has(id)) this.remove(id)
    const newIds: string[] = []
    for (const { id, startedAt, leftMs, times } of notes) {
      const endpoint: EndpointEntry | undefined = this._endpoints.find(id)
      if (endpoint?.startedAt !== startedAt) continue
      if (this._ejections.get(id)?.times !== times) newIds.push(id)
      this.put({ endpoint, until: this._clock.now() + leftMs, times }, { source })
    }
    return newIds
  }
}
