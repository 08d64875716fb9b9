import type { EventLog } from '@mimosarock/coordination/event-log.js'
import type { EndpointEntry } from '../model/endpoint-entry.js'
import { requestSuspectId } from './request-suspect-id.js'
import type { Suspect } from './suspect.js'
import type { SuspectRecord } from './suspect-record.js'

/** Writes the log lines of a quarantine. */
export class QuarantineLog {
  private readonly _log: EventLog

  /**
   * @param log event log
   */
  constructor (log: EventLog) {
    this._log = log
  }

  /**
   * Logs that an endpoint has crashed.
   * @param endpoint the endpoint
   * @param suspects what it may have crashed on
   */
  crashed (endpoint: EndpointEntry, suspects: readonly Suspect[]): void {
    const parts = suspects.filter(({ id }) => requestSuspectId.fingerprintOf(id) === undefined).map(({ id }) => id)
    const fingerprints = suspects.flatMap(({ id }) => requestSuspectId.fingerprintOf(id) ?? [])
    this._log.warn('endpoint-crashed', {
      endpoint: endpoint.id,
      service: endpoint.service,
      lost_requests: fingerprints.join(','),
      unanswered_parts: parts.length === 0 ? undefined : parts.join(',')
    })
  }

  /**
   * Logs the start of a quarantine.
   * @param record record of the suspect
   */
  quarantined ({ id, depth, crashes: { size: crashes } }: SuspectRecord): void {
    const fingerprint = requestSuspectId.fingerprintOf(id)
    if (fingerprint !== undefined) this._log.warn('request-quarantined', { fingerprint, crashes })
    else this._log.warn('prompt-part-quarantined', { part: id, depth, crashes })
  }

  /**
   * Logs the end of a quarantine.
   * @param id id of the suspect
   */
  released (id: string): void {
    const fingerprint = requestSuspectId.fingerprintOf(id)
    if (fingerprint !== undefined) this._log.warn('request-released', { fingerprint })
    else this._log.warn('prompt-part-released', { part: id })
  }
}
